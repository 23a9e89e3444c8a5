package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["cold-rate"] = coldRate }

const (
	// unlimitedRate is the highest integer of 64 bits, a usual way to write "no limit".
	unlimitedRate = 9223372036854775807.0
	coldStart     = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	releaseGap    = 2 * time.Second
	releases      = 8
	endsAllowed   = 2
	endsMachines  = 2
)

// coldRate changes the rate that the cold servers of a service tolerate, and then replaces
// its servers one after the other. The platform starts processes again that ended.
func coldRate(c *caseSettings) (bool, error) {
	d, err := newDeployment(c.daemon, c.record, 3, 2, 1000, 1)
	if err != nil {
		return false, err
	}
	defer d.close()
	serve := func(s *server, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get(attemptHeader)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(50 * time.Millisecond)
		_, err := conn.Write(append([]byte(s.head(id, 500)), pattern(id, 0, 500)...))
		return err == nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.patch(map[string]any{"upsert": map[string]any{
		"routes":   map[string]any{"r-1": route(d.host, "/lepu270/", "safe", "huvo11a", 2000, 7)},
		"services": map[string]any{"huvo11a": service(3.5, 7)}, "limits": limits(7)}}, 20*time.Second); err != nil {
		return false, err
	}
	started := 0
	start := func(cold time.Duration) (func(), error) {
		started++
		s, err := startServer(fmt.Sprintf("i-%d", started), "thamel", d.controls()[0].ip, 3, serve)
		if err != nil {
			return nil, err
		}
		beats, stop := context.WithCancel(ctx)
		go d.coldHeartbeats(beats, s, "huvo11a", cold)
		return func() {
			stop()
			status, _ := post(httpClient, "http://"+d.controlOf(d.controls()[0])+"/instances/"+s.id+"/deregister", map[string]any{"born": s.born, "sequence": 1 << 20})
			c.record.logf("server %s leaves: %d", s.id, status)
			time.AfterFunc(coldStart, func() { _ = s.listener.Close() })
		}, nil
	}
	var leave []func()
	for range 3 {
		stop, err := start(0)
		if err != nil {
			return false, err
		}
		leave = append(leave, stop)
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	go d.load(ctx, d.entries())
	time.Sleep(2 * time.Second)
	rate := 4.5
	if c.trouble {
		rate = unlimitedRate
	}
	if err := d.patch(map[string]any{"upsert": map[string]any{"services": map[string]any{"huvo11a": service(rate, 9)}}}, 4*time.Second); err != nil {
		return false, err
	}
	c.record.logf("the operator's change of the service to coldPerS %.0f is acknowledged", rate)
	// The platform starts a process again that has ended. It is the same goroutine that
	// has started the others.
	ends := map[string]int{}
	end := time.Now().Add(releases * releaseGap)
	for next := time.Now(); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range d.nodes {
			select {
			case <-n.exited:
				ends[n.name]++
				time.Sleep(restartDelay)
				if err := d.start(n); err != nil {
					return false, err
				}
				c.record.logf("the platform starts %s again", n.name)
			default:
			}
		}
		if time.Now().After(next) {
			next = next.Add(releaseGap)
			stop, err := start(coldStart)
			if err != nil {
				return false, err
			}
			leave = append(leave, stop)
			leave[0]()
			leave = leave[1:]
		}
	}
	machines := 0
	for name, n := range ends {
		c.record.logf("%s ended by itself %d times", name, n)
		if n > endsAllowed {
			machines++
		}
	}
	return machines >= endsMachines, nil
}
