package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// relayingControl dispatches each request to one address and relays the response. The
// response is buffered until it is complete.
type relayingControl struct {
	proxy       *proxy.Proxy
	address     string
	bufferLimit int
	lastAttempt atomic.Uint64
}

func (c *relayingControl) deadline() model.Time {
	return model.Time(time.Now().Add(time.Minute).UnixNano())
}
func (c *relayingControl) Submit(b event.Body) error {
	id := model.AttemptID{Instance: "a-1", Seq: c.lastAttempt.Add(1)}
	c.proxy.Dispatch(event.Dispatch{Request: b.(event.RequestArrived).ID, Attempt: id, Address: c.address, Deadline: c.deadline(), MaxConnections: 4000})
	return nil
}
func (c *relayingControl) Report(b event.Body) {
	if a, ok := b.(event.AttemptAnswered); ok {
		c.proxy.Relay(event.Relay{Request: a.Request, Attempt: a.Attempt, BufferLimit: c.bufferLimit, Deadline: c.deadline()})
	}
}
func (c *relayingControl) View() *view.View      { return &view.View{} }
func (c *relayingControl) Done() <-chan struct{} { return nil }

// Guards against an instance that runs out of memory because the responses to many slow
// callers are held at the same time, each within its own limit.
var _ = It("responses to many slow callers fit into the memory", func() {
	const (
		processMemory = 128 << 20
		callers       = 800
		bodyBytes     = 250 << 10
	)
	body := make([]byte, bodyBytes)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer upstream.Close()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(processMemory * memory.RuntimeShare)))
	budget := memory.NewBudget(processMemory)
	c := &relayingControl{address: upstream.Listener.Addr().String(), bufferLimit: 256 << 10}
	c.proxy = proxy.New("a-1", discardTelemetry{}, func() model.Time { return model.Time(time.Now().UnixNano()) }, nil, budget)
	c.proxy.SetControl(c)
	defer c.proxy.Close()
	released := make(chan struct{})
	list := make([]*fake.SlowCaller, callers)
	var wg sync.WaitGroup
	for i := range list {
		list[i] = &fake.SlowCaller{Released: released}
		wg.Go(func() { c.proxy.Serve(list[i], httptest.NewRequest("GET", "/s/reads/x", nil), "reads", "/x") })
	}
	var peak uint64
	for range 75 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse+m.StackInuse)
		time.Sleep(20 * time.Millisecond)
	}
	close(released)
	wg.Wait()
	complete := 0
	for _, caller := range list {
		if caller.Status == http.StatusOK {
			Expect(caller.Bytes).To(Equal(bodyBytes))
			complete++
			continue
		}
		Expect(caller.Header().Get(proxy.HeaderCode)).To(Equal("2011"))
		Expect(caller.Header().Get("Retry-After")).NotTo(BeEmpty())
	}
	Expect(peak).To(BeNumerically("<=", processMemory))
	Expect(complete).To(BeNumerically(">=", callers/2))
	Expect(budget.Used()).To(BeZero())
})
