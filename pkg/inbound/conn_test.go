package inbound

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// discard implements Telemetry.
type discard struct{}

func (discard) CountConnections(string, int) {}
func (discard) Log(event.Log)                {}

// Guards against a request that counts as waiting for its client, and so may be closed, while
// it runs: net/http reads one byte ahead from the end of the body on, to notice that the client
// has left.
func TestRequestThatWasReadDoesNotWaitForItsClient(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var waited atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Millisecond)
		if r.Context().Value(contextKey{}).(*Conn).waitingSince.Load() != 0 {
			waited.Add(1)
		}
	})}
	attached := NewTable(nil, 0, discard{}).Attach(srv, l, nil)
	go func() { _ = srv.Serve(attached) }() // ends with Close
	defer srv.Close()
	for range 1000 {
		resp, err := http.Post("http://"+l.Addr().String(), "text/plain", strings.NewReader("body"))
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
	}
	g.Expect(waited.Load()).To(BeZero())
}
