//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() {
	scenarios["stale-evacuation"] = staleEvacuation
	scenarios["refused-config"] = refusedConfig
	scenarios["forged-id"] = forgedID
	scenarios["lost-departure"] = lostDeparture
}

const host = "nony93.example"

// freezeTime is how long a control machine stands still.
const freezeTime = 3500 * time.Millisecond

// firstConfig has two routes, to the services catalogue and deposits.
func firstConfig() object {
	return object{
		"routes": object{
			"r-read":    routeItem(host, "/levo940/", "safe", "catalogue", 3),
			"r-deposit": routeItem(host, "/wu5/", "non_idempotent", "deposits", 3),
		},
		"services": object{"catalogue": serviceItem(3), "deposits": serviceItem(3)},
		"limits":   limitsItem(3),
	}
}

// staleEvacuation freezes a control machine. The operator's order to take a zone back
// goes to this machine first, is not answered, and is sent to another one, which
// acknowledges it. Then the operator empties the zone again. The frozen machine wakes.
func staleEvacuation(e *env) ([]string, error) {
	if err := e.begin(firstConfig()); err != nil {
		return nil, err
	}
	const emptied = "gulf-b"
	for i, z := range []string{emptied, emptied, "plains-a", "hill-a"} {
		if _, err := e.addServer(fmt.Sprintf("i-cat%d", i), "catalogue", z); err != nil {
			return nil, err
		}
	}
	c := newClients(e.d, host, e.record)
	if err := e.settle(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx, 30*time.Millisecond, "GET", "/levo940/", 0)
	frozen, others := e.d.controls()[5], e.d.controls()[:5]
	all := append([]*machine{frozen}, others...)
	start, end := "/evacuation/"+emptied+"/start", "/evacuation/"+emptied+"/end"

	if e.operator.order(all, start, nil, 5*time.Second) != 200 {
		return nil, fmt.Errorf("the first evacuation was not acknowledged")
	}
	time.Sleep(3 * time.Second)
	frozenAt := time.Now()
	if e.trouble {
		e.d.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	if e.operator.order(all, end, nil, 5*time.Second) != 200 {
		return nil, fmt.Errorf("the end of the evacuation was not acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	if e.operator.order(others, start, nil, 5*time.Second) != 200 {
		return nil, fmt.Errorf("the second evacuation was not acknowledged")
	}
	acknowledged := time.Now()
	e.record.add("operator", "the second evacuation of %s is acknowledged", emptied)
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if e.trouble {
		e.d.signal(frozen, syscall.SIGCONT)
	}
	woken := time.Now()
	// The longest bound: an unstable core stretches it.
	from := acknowledged.Add(evacuationTime + maxStretch)
	if inTouch := woken.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	cancel()
	var broken []string
	n, served := 0, 0
	for _, s := range e.servers {
		for _, a := range s.runs() {
			if a.at.Before(from) {
				continue
			}
			served++
			if a.zone == emptied {
				n++
			}
		}
	}
	e.record.add("verdict", "from %.1f s after the acknowledgement: %d requests run, %d of them in %s", from.Sub(acknowledged).Seconds(), served, n, emptied)
	if served == 0 {
		return nil, fmt.Errorf("no request ran at the end")
	}
	if n > 0 {
		broken = append(broken, fmt.Sprintf("EVAC: %d requests reached servers in %s more than %.1f s after its evacuation was acknowledged, and it was not taken back since",
			n, emptied, from.Sub(acknowledged).Seconds()))
	}
	return broken, nil
}

// refusedConfig freezes a control machine. A configuration that names an unknown
// service goes to this machine first, is not answered, and is sent to another one,
// which refuses it. Then another change adds the service. The frozen machine wakes.
func refusedConfig(e *env) ([]string, error) {
	if err := e.begin(firstConfig()); err != nil {
		return nil, err
	}
	for i, service := range []string{"catalogue", "catalogue", "archive"} {
		if _, err := e.addServer(fmt.Sprintf("i-srv%d", i), service, zones[i].name); err != nil {
			return nil, err
		}
	}
	c := newClients(e.d, host, e.record)
	if err := e.settle(c); err != nil {
		return nil, err
	}
	frozen, others := e.d.controls()[5], e.d.controls()[:5]
	all := append([]*machine{frozen}, others...)
	frozenAt := time.Now()
	if e.trouble {
		e.d.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	invalid := object{"upsert": object{"routes": object{"r-archive": routeItem(host, "/archive/", "safe", "archive", 5)}}}
	status := e.operator.order(all, "/config/patch", invalid, 5*time.Second)
	e.record.add("operator", "the change that names the unknown service archive got %d", status)
	if status < 400 || status >= 500 {
		return nil, fmt.Errorf("the invalid change got %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	valid := object{"upsert": object{"services": object{"archive": serviceItem(7)}}}
	if e.operator.order(others, "/config/patch", valid, 5*time.Second) != 200 {
		return nil, fmt.Errorf("the valid change was not acknowledged")
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if e.trouble {
		e.d.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(contactTime + configApplyTime + maxStretch)
	var broken []string
	items := e.operator.config(others[0])
	if items == nil {
		return nil, fmt.Errorf("no configuration was read back")
	}
	if _, ok := items["routes"].(object)["r-archive"]; ok {
		broken = append(broken, "CONFIG: the refused route r-archive is read back")
	}
	c.resolve()
	for range 5 {
		c.send("GET", "/archive/1", "")
	}
	if n := len(e.servers[2].runs()); n > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d of 5 requests on the refused route ran", n))
	}
	return broken, nil
}
