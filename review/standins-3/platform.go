package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// newHTTPClient returns a client that uses a new connection for each request and follows no
// redirects.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one call to an address and follows a 307 twice. It returns the status, 0 if there
// was no answer within the second for which callers wait.
func call(method, url string, body []byte) (int, []byte) {
	client := newHTTPClient()
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			cancel()
			return 0, nil
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cancel()
		if err != nil {
			return 0, nil
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, answer
		}
		url = resp.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil
}

// order sends an order like sendOrder and returns the last status.
func order(d *deployment, r *record, name, path string, body []byte, deadline time.Time) int {
	status, _ := sendOrder(d, r, name, path, body, deadline)
	return status
}

// sendOrder sends an order of the operator to the core machines in turn, with increasing pauses,
// until it is acknowledged or refused, or the deadline is over. It returns the last status and the
// machine that was called last.
func sendOrder(d *deployment, r *record, name, path string, body []byte, deadline time.Time) (status int, by *machine) {
	pause := 100 * time.Millisecond
	for i := 0; time.Now().Before(deadline); i++ {
		by = d.core[i%len(d.core)]
		status, _ = call(http.MethodPost, fmt.Sprintf("http://%s:%d%s", by.ip, controlPort, path), body)
		r.line("operator: %s to %s: %d", name, by.name, status)
		if status/100 == 2 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status, by
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return status, by
}

const hostName = "jepu9.example"

// routeItem returns a route as the operator sends it.
func routeItem(prefix, kind, service string, timeoutMs, version int) map[string]any {
	return map[string]any{"host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, objectiveField: 400,
		"priority": 2, "service": service, "maxAttempts": 2, "sessionAffinity": true, "homeRegions": []string{}, "version": fmt.Sprintf("%08x", version)}
}

// firstCall is the operator's first call, with all items.
func firstCall(routes map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{
		"upsert": map[string]any{
			"routes": routes,
			"services": map[string]any{"deposits": map[string]any{"healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false,
				"coldStartS": 3.0, "coldPerS": 17.0, "version": "00000001"}},
			"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "version": "00000001"},
		},
		"remove": map[string]any{"routes": []any{}},
	})
	return body
}

// server is a server of a service.
type server struct {
	id, service, zone string
	work              time.Duration
	listener          net.Listener
	address           string
	born              int64
	sequence          atomic.Int64
	state             atomic.Value
	record            *record
	runs              sync.Map
	stop              chan struct{}
}

// startServer starts a server on its own address and sends its heartbeats to the core machines.
func startServer(d *deployment, r *record, id, ip, zone string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: "deposits", zone: zone, work: work, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), record: r, stop: make(chan struct{})}
	s.state.Store("ready")
	go func() { _ = http.Serve(l, s) }()
	go s.beat(d)
	return s, nil
}

// beat sends heartbeats until the server ends.
func (s *server) beat(d *deployment) {
	for i := 0; ; i++ {
		for k := range d.core {
			m := d.core[(i+k)%len(d.core)]
			if s.heartbeat(m) {
				break
			}
		}
		select {
		case <-time.After(heartbeatEvery):
		case <-s.stop:
			return
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (s *server) heartbeat(m *machine) bool {
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8,
		"state": s.state.Load(), coldField: 0, "sequence": s.sequence.Add(1), "born": s.born})
	status, _ := call(http.MethodPost, fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", m.ip, controlPort, s.id), body)
	return status/100 == 2
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, id)
	w.Header().Set(loadHeader, "1,0,8,100")
	if target := r.Header.Get(targetHeader); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.record.line("server %s runs %s (%d bytes)", s.id, id, len(body))
	s.runs.Store(id, true)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(sealHeader, "whole")
	_, _ = fmt.Fprintf(w, "%s %s", s.id, id)
}

// resolve asks the core machines, at most three, for entry addresses.
func resolve(d *deployment, zone, region string) []string {
	for _, m := range d.core[:3] {
		status, body := call(http.MethodGet, fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", m.ip, directoryPort, hostName, region, zone), nil)
		var answer struct{ Addresses []string }
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// request sends one client request to an entry address and returns the status, 0 for none, and
// whether the answer is the server's.
func request(address, method, path, id string, deadline time.Duration, body []byte) (status int, sealed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Host = hostName
	req.Header.Set(attemptHeader, id)
	req.Header.Set(deadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := newHTTPClient().Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get(sealHeader) != ""
}
