package inbound_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
)

// recorder keeps what a table reports.
type recorder struct {
	mu     sync.Mutex
	counts map[string]int
	logs   int
}

// CountConnections implements inbound.Telemetry.
func (r *recorder) CountConnections(reason string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[reason] += n
}

// Log implements inbound.Telemetry.
func (r *recorder) Log(event.Log) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logs++
}

func (r *recorder) count(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}

// server is a server whose connections are in a table.
type server struct {
	*inbound.Table
	budget   *memory.Budget
	recorder *recorder
	address  string
}

// serve starts a server with a budget of the given limit. Its handler reads the whole body.
func serve(t *testing.T, limit int64, maxConnections int, timeouts inbound.Timeouts) *server {
	g := NewWithT(t)
	s := &server{budget: memory.NewBudget(int64(float64(limit)/memory.HeldShare) + 1), recorder: &recorder{}}
	s.Table = inbound.NewTable(s.budget, maxConnections, s.recorder)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	handler := inbound.Admit(s.budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := inbound.ReadBody(r, 1<<20)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if size, err := strconv.Atoi(r.URL.Query().Get("answer")); err == nil {
			_, _ = w.Write(make([]byte, size))
			return
		}
		fmt.Fprintf(w, "%d", len(body))
	}), func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	srv := &http.Server{Handler: handler}
	attached := s.Attach(srv, l, func() inbound.Timeouts { return timeouts })
	go func() { _ = srv.Serve(attached) }() // ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// dial opens a connection and sends text on it. The server may close the connection meanwhile.
func (s *server) dial(t *testing.T, text string) net.Conn {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	return conn
}

// isOpen reports whether the server has not closed a connection on which it sends nothing.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

// Guards against a head whose fields are counted only once it is complete, and against what a
// connection held staying counted after it.
func TestHeadsAreCountedWhileTheyAreRead(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 8<<20, 0, inbound.Timeouts{})
	conn := s.dial(t, head+strings.Repeat("a:\r\n", 1000))
	g.Eventually(s.budget.Used).Should(BeNumerically(">=", memory.ConnectionBytes+200_000))
	_, err := io.WriteString(conn, "Content-Length: 1\r\n\r\nx")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Eventually(s.budget.Used).Should(BeEquivalentTo(memory.ConnectionBytes))
	_ = conn.Close()
	g.Eventually(s.budget.Used).Should(BeZero())
	g.Eventually(s.Len).Should(BeZero())
}

// Guards against clients with unfinished heads and bodies that keep ordinary callers out, and
// against a process that holds more than its budget allows for them.
func TestUnfinishedRequestsMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 2<<20, 0, inbound.Timeouts{})
	for range 20 {
		s.dial(t, head+strings.Repeat("a:\r\n", 1000))
		s.dial(t, head+"Content-Length: 200000\r\n\r\n"+strings.Repeat("x", 199_999))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	g.Eventually(func() error {
		resp, err := client.Post("http://"+s.address, "text/plain", bytes.NewReader(make([]byte, 100_000)))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}).WithTimeout(10 * time.Second).Should(Succeed())
	g.Expect(s.budget.Peak()).To(BeNumerically("<=", 3<<20))
	g.Expect(s.recorder.count("closed_memory")).To(BeNumerically(">", 0))
	g.Expect(s.recorder.logs).To(BeNumerically("<", 20))
}

// Guards against callers that take all descriptors, and against one that comes later being kept
// out by them.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	const most = 10
	s := serve(t, 8<<20, most, inbound.Timeouts{})
	var first []net.Conn
	for range most {
		first = append(first, s.dial(t, ""))
	}
	g.Eventually(s.Len).Should(Equal(most))
	g.Eventually(func() bool {
		conn := s.dial(t, head+"Content-Length: 0\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}).WithTimeout(10 * time.Second).Should(BeTrue())
	g.Expect(s.Len()).To(BeNumerically("<=", most))
	g.Expect(s.recorder.count("closed_descriptors")).To(BeNumerically(">", 0))
	g.Expect(isOpen(first[0])).To(BeFalse())
}

// Guards against timeouts that are not applied, and against a header timeout that begins before
// the first byte of a request.
func TestTimeoutsApply(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, 8<<20, 0, inbound.Timeouts{Header: time.Millisecond, Idle: time.Minute})
	idle, unfinished := s.dial(t, ""), s.dial(t, head)
	g.Eventually(func() bool { return isOpen(unfinished) }).WithTimeout(10 * time.Second).Should(BeFalse())
	g.Expect(isOpen(idle)).To(BeTrue())
	s = serve(t, 8<<20, 0, inbound.Timeouts{Header: time.Minute, Idle: time.Millisecond})
	idle, unfinished = s.dial(t, ""), s.dial(t, head)
	g.Eventually(func() bool { return isOpen(idle) }).WithTimeout(10 * time.Second).Should(BeFalse())
	g.Expect(isOpen(unfinished)).To(BeTrue())
}

// Guards against a slow client whose response is cut although it reads.
func TestSlowReaderGetsItsResponse(t *testing.T) {
	g := NewWithT(t)
	const size = 3 << 20
	s := serve(t, 8<<20, 0, inbound.Timeouts{})
	conn := s.dial(t, "GET /?answer="+fmt.Sprint(size)+" HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	read := 0
	buffer := make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		read += n
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(read).To(Equal(size))
}
