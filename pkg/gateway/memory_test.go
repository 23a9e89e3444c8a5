package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
)

// processBytes returns the memory that the process uses for its heap and its stacks.
func processBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// Guards against an instance that runs out of memory, and takes the requests of all other
// callers with it, because large responses to many slow callers are held at the same
// time, each within its own limit.
var _ = DescribeTable("responses to a thousand slow callers fit into the memory", func(withLength bool) {
	const (
		processMemory = 128 << 20
		callers       = 1000
	)
	body := bytes.Repeat([]byte("x"), 300<<10)
	address := startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		head := "HTTP/1.1 200 OK\r\nAttempt: " + r.Header.Get("Attempt") + "\r\n"
		if withLength {
			head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
		} else {
			head += "Connection: close\r\n"
		}
		_, _ = io.WriteString(conn, head+"\r\n")
		_, _ = conn.Write(body)
		if !withLength {
			_ = conn.Close()
		}
	})
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(processMemory * memory.RuntimeShare)))
	c := newLimitedControl(address, memory.NewBudget(processMemory))
	c.timeout, c.reported = time.Minute, make(chan event.Body, 2*callers)
	released := make(chan struct{})
	list := make([]*fake.SlowCaller, callers)
	var wg sync.WaitGroup
	for i := range list {
		list[i] = &fake.SlowCaller{Released: released}
		r := httptest.NewRequest("GET", "http://h/x", nil)
		r.Header.Set("Attempt", strconv.Itoa(i))
		wg.Go(func() { c.gateway.ServeHTTP(list[i], r) })
	}
	var peak uint64
	for range 100 {
		peak = max(peak, processBytes())
		time.Sleep(20 * time.Millisecond)
	}
	close(released)
	wg.Wait()
	complete := 0
	for _, caller := range list {
		switch caller.Status {
		case http.StatusOK:
			Expect(caller.Bytes).To(Equal(len(body)))
			complete++
		default:
			Expect(caller.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(caller.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	Expect(peak).To(BeNumerically("<=", processMemory))
	Expect(complete).To(BeNumerically(">=", callers/2))
	Expect(c.outcomes()).To(HaveLen(complete))
},
	Entry("with a length", true),
	Entry("without a length", false),
)

// Guards against a budget that is used up by requests that have ended.
var _ = It("everything that a request held is given back", func() {
	address := startUpstream(func(conn net.Conn, r *http.Request, body string, number int) {
		switch number % 3 {
		case 0:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nContent-Length: 90000\r\n\r\n"+string(make([]byte, 90000)))
		case 1:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nContent-Length: 90000\r\n\r\nshort")
			_ = conn.Close()
		case 2:
			_ = conn.Close()
		}
	})
	budget := memory.NewBudget(8 << 20)
	c := newLimitedControl(address, budget)
	c.bufferLimit, c.reported = 50000, make(chan event.Body, 1000)
	for i := range 60 {
		if i%2 == 0 {
			c.bufferLimit = 100000
		}
		r := httptest.NewRequest("POST", "http://h/x", bytes.NewReader(make([]byte, i*10000)))
		r.Header.Set("Attempt", strconv.Itoa(i))
		func() {
			defer func() { _ = recover() }()
			c.gateway.ServeHTTP(httptest.NewRecorder(), r)
		}()
	}
	Expect(budget.Used()).To(BeZero())
	Expect(budget.Peak()).To(BeNumerically(">", 100000))
})
