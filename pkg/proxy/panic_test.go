package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against a request that stays open in the reducer for ever, so that its slot is
// never free and the process never stops, because a panic ended the goroutine that serves
// it.
var _ = It("panic ends the relayed attempt and the request in the reducer", func() {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer upstream.Close()
	c := newForwardingControl(upstream.Listener.Addr().String(), 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.proxy.Serve(fake.PanickingWriter{ResponseWriter: w}, r, "writes", "/x")
	}))
	defer server.Close()
	_, err := http.Get(server.URL)
	Expect(err).To(HaveOccurred())
	Eventually(c.ended).WithTimeout(time.Second).Should(Receive(HaveField("Result", event.Truncated)))
	Consistently(c.ended).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
	Eventually(c.canceled).WithTimeout(time.Second).Should(Receive())
})

// Guards against an attempt that nobody ends because its request was left before the
// response came.
var _ = It("relay for a request that has ended ends the attempt", func() {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer upstream.Close()
	c := newForwardingControl(upstream.Listener.Addr().String(), 0)
	c.finishFirst = true
	w := httptest.NewRecorder()
	c.proxy.Serve(w, httptest.NewRequest("GET", "/x", nil), "reads", "/x")
	Expect(w.Code).To(Equal(http.StatusBadGateway))
	var request model.RequestID = 1
	c.proxy.Relay(event.Relay{Request: request, Attempt: model.AttemptID{Instance: "a-1", Seq: 1}})
	Eventually(c.ended).WithTimeout(time.Second).Should(Receive(HaveField("Result", event.Truncated)))
})
