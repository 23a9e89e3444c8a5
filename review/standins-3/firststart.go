package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// spread is how much earlier the first seed starts than all others: all machines start
	// within 0.3 s of each other, in any order.
	spread = 250 * time.Millisecond
	// killAfter is when, after its start, the process of the first seed is killed.
	killAfter = 150 * time.Millisecond
	// restartAfter is the platform's delay before it starts a killed process again.
	restartAfter = time.Second
	// firstOrderTime is how long the operator sends its first call.
	firstOrderTime = 45 * time.Second
	// ackBound is how long after the last start the first call may remain without an
	// acknowledgement: the process that was killed counts as lost for catchUpS 4, service may be
	// suspended for recoveryS 15 after it is back, and ackTimeoutMs 5000 holds from then on.
	ackBound = (4 + 15 + 5) * time.Second
)

// playFirstStart starts the whole system for the first time. One process of the core is killed
// once while the others start, and is started again. The operator's first call must be
// acknowledged within ackBound, and requests must be served then.
func playFirstStart(daemon string, trouble bool, r *record) (int, error) {
	d, err := newDeployment(daemon, []string{"gulf-a", "plains-a"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	first := d.core[0]
	if err := startFirst(first, r); err != nil {
		return cannotRun, err
	}
	time.Sleep(killAfter)
	if trouble {
		first.kill()
		r.line("platform: %s is killed", first.name)
	}
	killed := time.Now()
	time.Sleep(spread - killAfter)
	for _, m := range d.all()[1:] {
		if err := startFirst(m, r); err != nil {
			return cannotRun, err
		}
	}
	lastStart := time.Now()
	if trouble {
		time.Sleep(time.Until(killed.Add(restartAfter)))
		if err := startFirst(first, r); err != nil {
			return cannotRun, err
		}
		lastStart = time.Now()
	}
	if _, err := startServer(d, r, "i-1", d.prefix+"80", "gulf-a", 50*time.Millisecond); err != nil {
		return cannotRun, err
	}
	began := time.Now()
	routes := map[string]any{"r-1": routeItem("/lepu270/", "non_idempotent", "deposits", 2000, 1)}
	status := order(d, r, "first call", "/config/patch", firstCall(routes), began.Add(firstOrderTime))
	acked := time.Now()
	if status/100 == 2 {
		r.line("the first call was acknowledged %.1f s after the last start", acked.Sub(lastStart).Seconds())
	} else {
		r.line("the first call was not acknowledged in %.1f s after the last start", acked.Sub(lastStart).Seconds())
	}
	time.Sleep(heartbeatEvery + time.Second)
	served, addresses := 0, resolve(d, "gulf-a", "gulf")
	r.line("directory: %v", addresses)
	if len(addresses) == 0 {
		// Clients get no address; ask the edge machines directly, to see what they say.
		for _, m := range d.edge {
			addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, frontPort))
		}
	}
	for i := range 10 {
		id := fmt.Sprintf("a%d", i)
		status, sealed := request(addresses[i%len(addresses)], http.MethodPost, "/lepu270/x", id, 2500*time.Millisecond, []byte("deposit"))
		r.line("client: %s to %s: %d, from a server: %t", id, addresses[i%len(addresses)], status, sealed)
		if status/100 == 2 && sealed {
			served++
		}
	}
	r.line("%d of 10 requests were served", served)
	if status/100 != 2 || acked.After(lastStart.Add(ackBound)) {
		return broken, nil
	}
	if served == 0 {
		return broken, nil
	}
	return held, nil
}
