//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const clientTimeout = 2500 * time.Millisecond

// sent is a request that a client has sent, with its answer. Status is 0 if no whole
// answer came.
type sent struct {
	id, method, path, body string
	at                     time.Time
	status                 int
}

// clients send requests to entry machines that the directory names.
type clients struct {
	d      *deployment
	host   string
	record *record
	http   *http.Client

	mu       sync.Mutex
	requests map[string]*sent
	// addresses holds the latest answer of the directory for the clients of each
	// zone with an entry machine.
	addresses map[string][]string
}

func newClients(d *deployment, host string, r *record) *clients {
	return &clients{d: d, host: host, record: r, requests: map[string]*sent{}, addresses: map[string][]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// resolve asks the directory where the clients of each zone may connect.
func (c *clients) resolve() {
	for _, m := range c.d.entries() {
		if list := c.lookup(m.zone, m.region); len(list) > 0 {
			c.mu.Lock()
			c.addresses[m.zone] = list
			c.mu.Unlock()
		}
	}
}

// lookup asks up to three control machines for the addresses for a zone.
func (c *clients) lookup(zone, region string) []string {
	list := c.d.controls()
	for _, i := range rand.Perm(len(list))[:3] {
		if addresses := c.ask(list[i], zone, region); len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

func (c *clients) ask(m *machine, zone, region string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q := url.Values{"name": {c.host}, "zone": {zone}, "region": {region}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(directoryPort)+"/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct{ Addresses []string }
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// run sends a request every interval until the context ends, and waits for the
// answers.
func (c *clients) run(ctx context.Context, interval time.Duration, method, prefix string, bodyBytes int) {
	var open sync.WaitGroup
	defer open.Wait()
	go func() {
		for ctx.Err() == nil {
			c.resolve()
			time.Sleep(2 * time.Second)
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		body := ""
		if bodyBytes > 0 {
			body = fmt.Sprintf("%0*d", bodyBytes, i)
		}
		open.Add(1)
		go func() {
			defer open.Done()
			c.send(method, fmt.Sprintf("%s%d", prefix, i), body)
		}()
		time.Sleep(interval)
	}
}

// send sends one request and returns its status, 0 if there is no answer.
func (c *clients) send(method, path, body string) int {
	zone := c.d.entries()[rand.IntN(len(c.d.entries()))].zone
	c.mu.Lock()
	list := c.addresses[zone]
	if len(list) == 0 {
		c.mu.Unlock()
		return 0
	}
	address := list[rand.IntN(len(list))]
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, body: body, at: time.Now()}
	c.requests[s.id] = s
	c.mu.Unlock()
	c.record.add("client", "sends %s to %s: %s %s, body of %d bytes", s.id, address, method, path, len(body))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	req.Host = c.host
	req.Header.Set(wire.Headers.ID, s.id)
	req.Header.Set(wire.Headers.Deadline, fmt.Sprint(clientTimeout.Milliseconds()))
	req.Header.Set(wire.Headers.Key, fmt.Sprint(rand.IntN(40)))
	status := 0
	if resp, err := c.http.Do(req); err == nil {
		if _, err := io.ReadAll(resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	c.record.add("client", "%s is answered %d", s.id, status)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status = status
	return status
}

// sentAs returns the request with an id.
func (c *clients) sentAs(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.requests[id]; s != nil {
		return *s, true
	}
	return sent{}, false
}
