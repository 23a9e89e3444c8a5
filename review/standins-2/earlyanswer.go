package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

const (
	entryLinkMbps = 6.6 // of an edge machine of the site
	uploadBytes   = 640_000
	chunkBytes    = 32_000
	chunkPause    = 15 * time.Millisecond
	answerBytes   = 90_000 // mean size of a tuning-drawing and of a statement-export
	earlyBytes    = 30_000
	uploadsTotal  = 10
)

// earlyAnswer sends long chunked bodies to a server that begins its answer before it has
// read the whole body, reads on, and then ends its answer.
func earlyAnswer(c *caseSettings) (bool, error) {
	d, err := newDeployment(c.daemon, c.record, 3, 1, entryLinkMbps, 1)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	changed, whole := 0, 0
	serve := func(s *server, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get(attemptHeader)
		var body []byte
		var readErr error
		if c.trouble {
			body = make([]byte, 2*chunkBytes)
			if _, readErr = io.ReadFull(r.Body, body); readErr != nil {
				c.record.logf("server %s: %s broke off: %v", s.id, id, readErr)
				return false
			}
			c.record.logf("server %s: %s runs; answer begins after %d bytes of the body", s.id, id, len(body))
			if _, err := conn.Write(append([]byte(s.head(id, answerBytes)), pattern("answer"+id, 0, earlyBytes)...)); err != nil {
				return false
			}
		}
		rest, readErr := io.ReadAll(r.Body)
		body = append(body, rest...)
		difference := firstDifference(id, body)
		switch {
		case readErr != nil:
			c.record.logf("server %s: %s: the body broke off after %d bytes: %v", s.id, id, len(body), readErr)
			return false
		case difference >= 0 || len(body) != uploadBytes:
			mu.Lock()
			changed++
			mu.Unlock()
			c.record.logf("server %s: %s: body CHANGED: it ends properly after %d bytes, sent were %d; first other byte at %d", s.id, id, len(body), uploadBytes, difference)
		default:
			mu.Lock()
			whole++
			mu.Unlock()
			c.record.logf("server %s: %s: the body is whole", s.id, id)
		}
		answer := pattern("answer"+id, 0, answerBytes)
		if c.trouble {
			_, err = conn.Write(answer[earlyBytes:])
		} else {
			_, err = conn.Write(append([]byte(s.head(id, answerBytes)), answer...))
		}
		return err == nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.patch(map[string]any{"upsert": map[string]any{
		"routes":   map[string]any{"r-1": route(d.host, "/xapu221/", "non_idempotent", "wuno96b", 4000, 7)},
		"services": map[string]any{"wuno96b": service(3.5, 7)}, "limits": limits(7)}}, 20*time.Second); err != nil {
		return false, err
	}
	for i := range 3 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "thamel", d.controls()[0].ip, 3, serve)
		if err != nil {
			return false, err
		}
		defer s.listener.Close()
		go d.heartbeats(ctx, s, "wuno96b")
	}
	if err := d.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range uploadsTotal {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+i)
		status, text, err := upload(d, id)
		c.record.logf("client: %s: %d bytes sent in chunks, answered %d %s %v", id, uploadBytes, status, text, err)
		time.Sleep(300 * time.Millisecond)
	}
	c.record.logf("bodies whole %d, changed %d", whole, changed)
	if whole+changed == 0 {
		return false, errors.New("no upload reached a server whole")
	}
	return changed > 0, nil
}

// upload sends one request with a chunked body and reads the answer meanwhile.
func upload(d *deployment, id string) (status int, text string, err error) {
	conn, err := net.Dial("tcp", d.front(d.entries()[0]))
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /xapu221/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nTransfer-Encoding: chunked\r\n\r\n", d.host, attemptHeader, id, timeHeader)
	go func() {
		for offset := 0; offset < uploadBytes; offset += chunkBytes {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", chunkBytes, pattern(id, offset, chunkBytes)); err != nil {
				return
			}
			time.Sleep(chunkPause)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	text = fmt.Sprintf("%d bytes, seal %q", len(body), resp.Header.Get(sealHeader))
	if resp.StatusCode != 200 {
		text = strings.TrimSpace(string(body))
	}
	return resp.StatusCode, text, err
}
