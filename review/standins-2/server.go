package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of the users.
type server struct {
	id, zone string
	slots    int
	// born is the start of the server in Unix milliseconds.
	born     int64
	listener net.Listener
	// serve handles a request that is meant for this server. It reads the body, writes
	// the answer, and reports whether the connection can be kept.
	serve func(s *server, conn net.Conn, r *http.Request) (keep bool)

	mu      sync.Mutex
	running int
}

func startServer(id, zone, ip string, slots int, serve func(*server, net.Conn, *http.Request) bool) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l, serve: serve}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn)
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", identityHeader, s.id)
			continue
		}
		if target := r.Header.Get(targetHeader); target != "" && target != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", attemptHeader, r.Header.Get(attemptHeader), identityHeader, s.id)
			continue
		}
		s.mu.Lock()
		s.running++
		s.mu.Unlock()
		keep := s.serve(s, conn, r)
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		if !keep {
			return
		}
	}
}

// head returns the head of an answer with status 200.
func (s *server) head(id string, length int) string {
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d,100", s.running, s.slots)
	s.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n",
		attemptHeader, id, sealHeader, id, loadHeader, load, length)
}

// pattern returns the bytes from an offset of the body that belongs to an attempt.
func pattern(id string, offset, n int) []byte {
	var seed uint32 = 2166136261
	for i := range len(id) {
		seed = (seed ^ uint32(id[i])) * 16777619
	}
	b := make([]byte, n)
	for i := range b {
		x := (uint32(offset+i) + seed) * 2654435761
		b[i] = "abcdefghijklmnopqrstuvwxyz012345"[x>>27]
	}
	return b
}

// firstDifference returns the first offset at which the body differs from the pattern of
// the attempt, and -1 if it does not.
func firstDifference(id string, body []byte) int {
	want := pattern(id, 0, len(body))
	for i := range body {
		if body[i] != want[i] {
			return i
		}
	}
	return -1
}

func short(text string) string { return strings.TrimSpace(strings.SplitN(text, "\n", 2)[0]) }
