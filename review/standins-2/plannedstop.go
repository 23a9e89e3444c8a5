package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["planned-stop"] = plannedStop }

const (
	exportBytes    = 540_000                 // largest statement-export of the site
	exportDeadline = 2500 * time.Millisecond // deadline of a statement-export
	exportWork     = 440 * time.Millisecond  // work of a statement-export
	readRate       = 400_000                 // bytes that a client reads in a second
	segmentBytes   = 1460                    // as on an Ethernet
	receiveBuffer  = 4 << 10
	exportClients  = 6

	firstExportIn = 1500 * time.Millisecond // after SIGTERM
	exportGap     = 250 * time.Millisecond
	gracePeriod   = 6 * time.Second
)

// plannedStop lets clients download exports at the speed of their own links while an
// entry process gets SIGTERM. Each request goes over a connection that was opened and
// used before SIGTERM.
func plannedStop(c *caseSettings) (bool, error) {
	d, err := newDeployment(c.daemon, c.record, 3, 2, 1000, 1)
	if err != nil {
		return false, err
	}
	defer d.close()
	serve := func(s *server, conn net.Conn, r *http.Request) bool {
		id := r.Header.Get(attemptHeader)
		_, _ = io.Copy(io.Discard, r.Body)
		c.record.logf("server %s: %s runs", s.id, id)
		time.Sleep(exportWork)
		n := exportBytes
		if r.URL.Path == "/lepu270/small" {
			n = 100
		}
		_, err := conn.Write(append([]byte(s.head(id, n)), pattern(id, 0, n)...))
		c.record.logf("server %s: %s done, answer of %d bytes handed over: %v", s.id, id, n, err)
		return err == nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.patch(map[string]any{"upsert": map[string]any{
		"routes":   map[string]any{"r-1": route(d.host, "/lepu270/", "download", "huvo11a", 5000, 7)},
		"services": map[string]any{"huvo11a": service(3.5, 7)}, "limits": limits(7)}}, 20*time.Second); err != nil {
		return false, err
	}
	for i := range 4 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "thamel", d.controls()[0].ip, 3, serve)
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
	entry := d.entries()[0]
	clients := make([]*download, exportClients)
	for i := range clients {
		if clients[i], err = d.newDownload(entry, i); err != nil {
			return false, err
		}
		defer clients[i].conn.Close()
		if err := clients[i].get("small", exportDeadline); err != nil {
			return false, fmt.Errorf("the first request on a connection: %w", err)
		}
	}
	stopped := time.Now()
	if c.trouble {
		c.record.logf("SIGTERM to %s, gracePeriodS is %v", entry.name, gracePeriod.Seconds())
		if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, complete := 0, 0
	for i, client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(stopped.Add(firstExportIn + time.Duration(i)*exportGap)))
			err := client.get("export", exportDeadline)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				complete++
			case errors.Is(err, errCut):
				cut++
			}
		}()
	}
	wg.Wait()
	c.record.logf("exports: %d complete, %d cut", complete, cut)
	if complete+cut == 0 {
		return false, errors.New("no export was answered")
	}
	return cut > 0, nil
}

// errCut says that a connection ended in the middle of an answer, before the deadline.
var errCut = errors.New("the connection ended before the answer was complete")

// download is a client with one connection, which it reads at readRate.
type download struct {
	d      *deployment
	conn   net.Conn
	reader *bufio.Reader
	number int
	sent   int
}

// newDownload opens a connection with the segment size and the window of a client that is
// not on the same machine.
func (d *deployment) newDownload(n *node, number int) (*download, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer))
		})
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", d.front(n))
	if err != nil {
		return nil, err
	}
	return &download{d: d, conn: conn, reader: bufio.NewReaderSize(&pacedReader{conn}, 4096), number: number}, nil
}

// pacedReader reads at readRate.
type pacedReader struct{ conn net.Conn }

func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	time.Sleep(time.Duration(n) * time.Second / readRate)
	return n, err
}

// get sends a request and reads the answer.
func (w *download) get(what string, deadline time.Duration) error {
	w.sent++
	id := fmt.Sprintf("%08x%08x", w.number+1, w.sent)
	rec := w.d.record
	end := time.Now().Add(deadline)
	_ = w.conn.SetDeadline(end)
	rec.logf("client %d: sends %s (%s)", w.number, id, what)
	if _, err := fmt.Fprintf(w.conn, "GET /lepu270/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", what, w.d.host, attemptHeader, id, timeHeader, deadline.Milliseconds()); err != nil {
		rec.logf("client %d: %s could not be sent: %v", w.number, id, err)
		return err
	}
	resp, err := http.ReadResponse(w.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		rec.logf("client %d: %s got no answer: %v", w.number, id, err)
		return err
	}
	body, err := io.ReadAll(resp.Body)
	rec.logf("client %d: %s got %d, %d of %d bytes, seal %q, %v before its deadline: %v", w.number, id, resp.StatusCode, len(body), resp.ContentLength,
		resp.Header.Get(sealHeader), time.Until(end).Round(time.Millisecond), err)
	switch {
	case resp.StatusCode == 200 && errors.Is(err, io.ErrUnexpectedEOF) && time.Now().Before(end):
		return errCut
	case err != nil:
		return err
	case resp.StatusCode != 200:
		return fmt.Errorf("status %d", resp.StatusCode)
	case firstDifference(id, body) >= 0:
		return errors.New("another body")
	}
	return nil
}
