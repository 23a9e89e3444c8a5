package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/peer"
)

// recorder implements peer.Sink and peer.Logger.
type recorder struct {
	mu        sync.Mutex
	connected int
	lost      int
	received  int
}

func (r *recorder) Log(event.Log) {}
func (r *recorder) Report(b event.Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch b.(type) {
	case event.PeerConnected:
		r.connected++
	case event.PeerLost:
		r.lost++
	case event.PeerReceived:
		r.received++
	}
}

func (r *recorder) counts() [3]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [3]int{r.connected, r.lost, r.received}
}

// silencer is a TCP proxy in front of an instance. Connections that were opened before a
// call of silence pass nothing on after it, and are not closed.
type silencer struct {
	listener   net.Listener
	generation atomic.Int64
}

func newSilencer(t *testing.T, target string) *silencer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := &silencer{listener: l}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go s.copy(near, far, s.generation.Load())
			go s.copy(far, near, s.generation.Load())
		}
	}()
	return s
}

func (s *silencer) silence() { s.generation.Add(1) }

func (s *silencer) copy(from, to net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if s.generation.Load() != generation {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// startPair starts managers a and b. a sends to b through the silencer.
func startPair(t *testing.T) (a, b *peer.Manager, events *recorder, received *recorder, path *silencer) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	events, received = &recorder{}, &recorder{}
	start := func(id model.InstanceID, r *recorder) (*peer.Manager, string) {
		m := peer.NewManager(message.Hello{From: id, Incarnation: 1}, r, r, peer.Options{})
		server := httptest.NewServer(m)
		t.Cleanup(server.CloseClientConnections)
		go func() { _ = m.Run(ctx, nil) }()
		return m, strings.TrimPrefix(server.URL, "http://")
	}
	a, addressA := start("a", events)
	b, addressB := start("b", received)
	path = newSilencer(t, addressB)
	g := NewWithT(t)
	g.Eventually(func() int {
		a.Connect(path.listener.Addr().String())
		b.Connect(addressA)
		return events.counts()[0]
	}, 5*time.Second).Should(Equal(1))
	g.Eventually(func() int { return received.counts()[0] }, 5*time.Second).Should(Equal(1))
	return a, b, events, received, path
}

// A connection on which nothing arrives at the peer any more must be replaced when the
// reducer says so: closing it must not wait for the peer.
func TestReconnectReplacesASilentConnection(t *testing.T) {
	g := NewWithT(t)
	a, _, events, received, path := startPair(t)
	a.Send("b", &message.UpstreamHeartbeats{})
	g.Eventually(func() int { return received.counts()[2] }, 5*time.Second).Should(Equal(1))
	path.silence()
	a.Send("b", &message.UpstreamHeartbeats{})
	a.Reconnect("b")
	g.Eventually(events.counts, 5*time.Second).Should(Equal([3]int{2, 1, 0}))
	a.Send("b", &message.UpstreamHeartbeats{})
	g.Eventually(func() int { return received.counts()[2] }, 5*time.Second).Should(Equal(2))
	a.Reconnect("unknown")
}

// A connection that is silent in both directions has nobody who could say so. It must be
// noticed by pings within the time for which instances may be out of touch.
func TestSilentConnectionIsNoticedWithoutMessages(t *testing.T) {
	g := NewWithT(t)
	_, _, events, _, path := startPair(t)
	path.silence()
	g.Eventually(events.counts, 4*time.Second).Should(Equal([3]int{2, 1, 0}))
}
