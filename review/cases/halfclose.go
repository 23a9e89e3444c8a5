//go:build review

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

func init() { scenarios["half-close"] = halfClose }

const (
	// deposits is the number of deposits that the clients send.
	deposits = 100
	// leavingEvery is the distance of the deposits whose clients leave early: a fifth
	// of all, the share that the site file has for give_up.
	leavingEvery = 5
	// leaveAfter is how long after the request a client ends its side.
	leaveAfter = 100 * time.Millisecond
)

// halfClose sends deposits with "Connection: close", each over a connection of its
// own. A fifth of the clients, which have nothing more to send, end their side of the
// connection and read the answer.
func halfClose(e *env) ([]string, error) {
	if err := e.begin(firstConfig()); err != nil {
		return nil, err
	}
	for i := range 6 {
		s, err := e.addServer(fmt.Sprintf("i-7f3a91c%d", i), "deposits", zones[i].name)
		if err != nil {
			return nil, err
		}
		s.work = 300 * time.Millisecond
	}
	if err := e.settle(newClients(e.d, host, e.record)); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var open sync.WaitGroup
	answered := map[string]int{}
	for i := range deposits {
		id := fmt.Sprintf("%016x", 0x5a17c000+i)
		m := e.d.entries()[i%len(e.d.entries())]
		open.Add(1)
		go func() {
			defer open.Done()
			status, err := e.deposit(m, id, e.trouble && i%leavingEvery == 0)
			e.record.add("client", "%s is answered %d (error: %v)", id, status, err)
			mu.Lock()
			defer mu.Unlock()
			answered[id] = status
		}()
		time.Sleep(50 * time.Millisecond)
	}
	open.Wait()
	time.Sleep(time.Second)
	false503, ran := 0, 0
	for _, s := range e.servers {
		for _, a := range s.runs() {
			ran++
			switch status := answered[a.id]; status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				false503++
				e.record.add("verdict", "%s was answered %d, and %s ran it", a.id, status, s.id)
			}
		}
	}
	e.record.add("verdict", "%d of %d deposits ran, %d of them were refused as not run", ran, deposits, false503)
	if ran == 0 {
		return nil, fmt.Errorf("no deposit ran")
	}
	if false503 > 0 {
		return []string{fmt.Sprintf("REFUSED: %d of %d deposits were answered with a status that says not run, and ran", false503, deposits)}, nil
	}
	return nil, nil
}

// deposit sends a deposit to an entry machine and returns the status of the answer, 0
// if there is none. If leaves is true, the client ends its side of the connection
// after leaveAfter.
func (e *env) deposit(m *machine, id string, leaves bool) (int, error) {
	conn, err := net.Dial("tcp", m.address(frontPort))
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	body := strings.Repeat("7", 40)
	e.record.add("client", "sends %s to %s, ends its side: %t", id, m.name, leaves)
	if _, err := fmt.Fprintf(conn, "POST /wu5/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		id, host, wire.Headers.ID, id, wire.Headers.Deadline, clientTimeout.Milliseconds(), len(body), body); err != nil {
		return 0, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, err
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(clientTimeout)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
