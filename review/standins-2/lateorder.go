package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrder }

const (
	holdTime     = 3500 * time.Millisecond // less than ackTimeoutMs, 4,000
	evacuationMs = 5000 * time.Millisecond
	clientDelay  = 8 * time.Millisecond // one way to a client
	evacuated    = "thamel"
)

// heldLink forwards connections to a control process. While it is held, what arrives
// stays in it; after that the bytes come first and the end of the connection follows.
type heldLink struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	until    time.Time
}

func newHeldLink(ip, target string) (*heldLink, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	h := &heldLink{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.forward(conn)
		}
	}()
	return h, nil
}

func (h *heldLink) hold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Now().Add(d)
}

func (h *heldLink) wait() {
	h.mu.Lock()
	until := h.until
	h.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (h *heldLink) forward(conn net.Conn) {
	defer conn.Close()
	h.wait()
	target, err := net.Dial("tcp", h.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(conn, target)
		_ = conn.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		h.wait()
		if n > 0 {
			if _, err := target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The end of the connection is a packet of its own, behind the bytes.
			time.Sleep(clientDelay)
			return
		}
	}
}

// order sends an order of the operator to the addresses in turn until one acknowledges
// it. The operator waits for one second for each answer.
func (d *deployment) order(what string, addresses ...string) error {
	for first := time.Now(); time.Since(first) < 4*time.Second; {
		for _, a := range addresses {
			// A connection of its own for each call, which the operator closes when it has
			// waited for long enough.
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			status, text := post(client, "http://"+a+what, nil)
			d.record.logf("operator: POST %s to %s: %d %s", what, a, status, short(text))
			if status/100 == 2 {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no acknowledgement of " + what)
}

// lateOrder starts, ends and starts the evacuation of a zone. The link between the
// operator and one control process holds up the order to end it, which the operator then
// sends to another one.
func lateOrder(c *caseSettings) (bool, error) {
	d, err := newDeployment(c.daemon, c.record, 3, 2, 1000, 1)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	serve := func(s *server, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get(attemptHeader)
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		arrivals[s.zone] = append(arrivals[s.zone], time.Now())
		mu.Unlock()
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
	for i, zone := range []string{"thamel", "thamel", "thamel", "lakeside", "lakeside", "lakeside"} {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), zone, d.controls()[0].ip, 3, serve)
		if err != nil {
			return false, err
		}
		defer s.listener.Close()
		go d.heartbeats(ctx, s, "huvo11a")
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	go d.load(ctx, d.entries()[:1])
	link, err := newHeldLink(d.controls()[0].ip, d.controlOf(d.controls()[0]))
	if err != nil {
		return false, err
	}
	defer link.listener.Close()
	far, near := link.listener.Addr().String(), d.controlOf(d.controls()[1])
	start, end := "/evacuation/"+evacuated+"/start", "/evacuation/"+evacuated+"/end"
	time.Sleep(4 * time.Second) // all machines are in touch
	if err := d.order(start, near); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if c.trouble {
		c.record.logf("the link between the operator and %s holds everything up for %v", d.controls()[0].name, holdTime)
		link.hold(holdTime)
	}
	if err := d.order(end, far, near); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.order(start, near); err != nil {
		return false, err
	}
	acked := time.Now()
	c.record.logf("the second start of the evacuation is acknowledged and not taken back from here on")
	time.Sleep(evacuationMs)
	c.record.logf("evacuationMs is over")
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, elsewhere := 0, 0
	for _, at := range arrivals[evacuated] {
		if at.After(acked.Add(evacuationMs)) {
			late++
		}
	}
	for _, at := range arrivals["lakeside"] {
		if at.After(acked.Add(evacuationMs)) {
			elsewhere++
		}
	}
	c.record.logf("requests that reached servers in the last 5 s: %d in the evacuated zone %s, %d in lakeside", late, evacuated, elsewhere)
	if late+elsewhere == 0 {
		return false, errors.New("no request reached a server")
	}
	return late > 0, nil
}
