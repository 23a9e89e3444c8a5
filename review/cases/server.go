//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server has run.
type arrival struct {
	at           time.Time
	server, zone string
	id, method   string
	path, body   string
}

// server is a server that follows the protocol of the platform.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration

	controls []*machine
	record   *record
	listener net.Listener
	http     *http.Server
	client   *http.Client
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	stop     context.CancelFunc

	mu       sync.Mutex
	arrivals []arrival
}

// startServer starts a server on a free loopback port. It sends heartbeats until it
// ends or deregisters.
func startServer(id, service, zone string, controls []*machine, r *record) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: 8, work: 20 * time.Millisecond, controls: controls, record: r, listener: l,
		client: &http.Client{Timeout: time.Second}, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.sendHeartbeats(ctx)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.Headers.ID)
	w.Header().Set(wire.Headers.ID, id)
	refuse := func(status int, reason string) {
		w.Header().Set(wire.Headers.NotRun, reason)
		w.WriteHeader(status)
	}
	if target := r.Header.Get(wire.Headers.Target); target != "" && target != s.id {
		refuse(http.StatusMisdirectedRequest, "another server")
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest, "no id")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set(wire.Headers.Load, fmt.Sprintf("%d,0,%d,100", running, s.slots))
	if running > int64(4*s.slots) {
		refuse(http.StatusServiceUnavailable, "full")
		return
	}
	a := arrival{time.Now(), s.id, s.zone, id, r.Method, r.URL.RequestURI(), string(body)}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.record.add("server", "%s in %s runs %s: %s %s, body of %d bytes", s.id, s.zone, id, a.method, a.path, len(body))
	time.Sleep(s.work)
	answer := "done " + id
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(answer))
	w.Header().Set(wire.Headers.Seal, fmt.Sprintf("%x", sum.Sum32()))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// runs returns the requests that the server has run.
func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() object {
	return with(wire.Heartbeat, object{"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "slots": s.slots,
		"sequence": s.sequence.Add(1), "born": s.born})
}

func (s *server) sendHeartbeats(ctx context.Context) {
	for i := 0; ; i++ {
		// A heartbeat that is not acknowledged is sent to the next machine.
		for range s.controls {
			if s.post(s.controls[i%len(s.controls)], s.id, "heartbeat", s.heartbeat()) {
				break
			}
			i++
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// post sends a call to a machine, with an id that is written as in a path, and
// reports whether it was acknowledged.
func (s *server) post(m *machine, id, action string, body object) bool {
	data, _ := json.Marshal(body)
	resp, err := s.client.Post("http://"+m.address(controlPort)+"/instances/"+id+"/"+action, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// deregister ends the heartbeats and deregisters. The server goes on serving. It
// returns when the acknowledgement came, the zero time if none came.
func (s *server) deregister() time.Time {
	s.stop()
	time.Sleep(50 * time.Millisecond)
	for _, m := range s.controls {
		if s.post(m, s.id, "deregister", object{"sequence": s.sequence.Add(1), "born": s.born}) {
			s.record.add("server", "%s deregisters at %s: acknowledged", s.id, m.name)
			return time.Now()
		}
		s.record.add("server", "%s deregisters at %s: not acknowledged", s.id, m.name)
	}
	return time.Time{}
}

// end ends the server.
func (s *server) end() {
	s.stop()
	_ = s.http.Close()
}
