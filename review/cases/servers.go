//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// forgedID lets another writer send one heartbeat that repeats that of a server,
// with a line end at the end of the id.
func forgedID(e *env) ([]string, error) {
	if err := e.begin(firstConfig()); err != nil {
		return nil, err
	}
	for i := range 3 {
		if _, err := e.addServer(fmt.Sprintf("i-7f3a91c%d", i), "deposits", zones[i].name); err != nil {
			return nil, err
		}
	}
	c := newClients(e.d, host, e.record)
	if err := e.settle(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx, 50*time.Millisecond, "POST", "/wu5/", 40)
	time.Sleep(5 * time.Second)
	if e.trouble {
		real := e.servers[1]
		id := real.id + "%0D%0A"
		ok := real.post(e.d.controls()[0], id, "heartbeat", real.heartbeat())
		e.record.add("writer", "heartbeat for /instances/%s/heartbeat: acknowledged %t", id, ok)
	}
	time.Sleep(12 * time.Second)
	cancel()
	time.Sleep(clientTimeout)
	var broken []string
	changed, total, unknown := 0, 0, 0
	for _, s := range e.servers {
		for _, a := range s.runs() {
			total++
			q, ok := c.sentAs(a.id)
			switch {
			case !ok:
				unknown++
			case q.method != a.method || q.path != a.path || q.body != a.body:
				changed++
				e.record.add("verdict", "%s: sent %s %s with a body of %d bytes, %s ran %s %s with a body of %d bytes",
					a.id, q.method, q.path, len(q.body), a.server, a.method, a.path, len(a.body))
			}
		}
	}
	e.record.add("verdict", "%d requests ran, %d of them changed, %d with an unknown id", total, changed, unknown)
	if total == 0 {
		return nil, fmt.Errorf("no request ran")
	}
	if changed+unknown > 0 {
		broken = append(broken, fmt.Sprintf("UNASKED: %d of %d requests ran with another body than the client sent, %d with an unknown id", changed, total, unknown))
	}
	if dead := e.d.diedAlone(); len(dead) > 0 {
		broken = append(broken, fmt.Sprintf("ended by themselves: %v", dead))
	}
	return broken, nil
}

// lostDeparture lets two servers deregister, one after the other, and then kills all
// processes at once. They are back after a second.
func lostDeparture(e *env) ([]string, error) {
	if err := e.begin(firstConfig()); err != nil {
		return nil, err
	}
	for i := range 6 {
		if _, err := e.addServer(fmt.Sprintf("i-51b0e2%d", i), "catalogue", zones[i].name); err != nil {
			return nil, err
		}
	}
	c := newClients(e.d, host, e.record)
	if err := e.settle(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx, 20*time.Millisecond, "GET", "/levo940/", 0)
	time.Sleep(4 * time.Second)
	leavers := e.servers[3:6]
	acked := map[string]time.Time{}
	for _, s := range leavers {
		at := s.deregister()
		if at.IsZero() {
			return nil, fmt.Errorf("%s got no acknowledgement", s.id)
		}
		acked[s.id] = at
		time.Sleep(300 * time.Millisecond)
	}
	started := time.Now()
	if e.trouble {
		e.d.killAll()
		time.Sleep(time.Second)
		if err := e.d.startAll(false); err != nil {
			return nil, err
		}
		started = time.Now()
	}
	time.Sleep(time.Until(started.Add(12 * time.Second)))
	for _, s := range leavers {
		s.end()
		e.record.add("server", "%s ends", s.id)
	}
	cancel()
	time.Sleep(clientTimeout)
	// The processes are in touch again contactMs after their start.
	inTouch := started.Add(contactTime + 300*time.Millisecond)
	late, total := 0, 0
	var last time.Duration
	for _, s := range e.servers {
		for _, a := range s.runs() {
			if a.at.Before(inTouch) {
				continue
			}
			total++
			if q, ok := c.sentAs(a.id); ok && !acked[s.id].IsZero() && q.at.After(inTouch) && a.at.After(acked[s.id].Add(drainTime)) {
				late++
				last = a.at.Sub(acked[s.id])
			}
		}
	}
	e.record.add("verdict", "%d requests ran when the processes were in touch, %d of them at servers that had deregistered", total, late)
	if total == 0 {
		return nil, fmt.Errorf("no request ran after the restart")
	}
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests, sent by clients when all processes were in touch, reached servers later than drainMs after these were acknowledged as gone, the last one %.1f s after", late, last.Seconds())}, nil
	}
	return nil, nil
}
