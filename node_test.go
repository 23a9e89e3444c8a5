package anvilcrank_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/gateway"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// freeAddress returns an address with a port that is currently free.
func freeAddress(g Gomega, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// startNode runs a node with defaults for the settings that tests do not vary, after it has
// called the functions of prepare. The channel receives the result of Run.
func startNode(t *testing.T, c anvilcrank.NodeConfig, prepare ...func(*anvilcrank.Node)) (*anvilcrank.Node, chan error) {
	g := NewWithT(t)
	c.Regions = map[model.Zone]model.Region{"z": "r"}
	c.Zone, c.Name = "z", string(c.ID)
	if c.LogLevel == "" {
		c.LogLevel = "error"
	}
	c.HeartbeatInterval, c.StopGracePeriod = time.Second, 6*time.Second
	c.RetryBudget = routed.RetryBudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}
	c.Headers = gateway.DefaultHeaders
	n, err := anvilcrank.NewNode(c)
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range prepare {
		f(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(cancel)
	return n, done
}

// Guards against a node that keeps its address after its start failed, so that the
// next start fails too.
func TestFailedStartReleasesTheListener(t *testing.T) {
	g := NewWithT(t)
	address, data := freeAddress(g, "127.0.0.1"), t.TempDir()
	c := anvilcrank.NodeConfig{ID: "c1", Control: true, PeerListen: address, Data: data, LogLevel: "error"}
	folder, err := storage.OpenFolder(data)
	g.Expect(err).NotTo(HaveOccurred())
	other, err := control.OpenStorageWriter(folder)
	g.Expect(err).NotTo(HaveOccurred())
	defer other.Close()
	_, err = anvilcrank.NewNode(c)
	g.Expect(err).To(MatchError(storage.ErrLocked))
	l, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	_ = l.Close()
}

// The test runs a control node and an entry node, changes the configuration,
// sends a heartbeat of an upstream, and sends requests to the entry node. Guards
// against two failures: the requests do not reach the upstream, or a graceful
// stop aborts requests or does not end.
func TestControlAndEntryNodesServeARoute(t *testing.T) {
	g := NewWithT(t)
	var peers []string
	bootstrapMembers := []model.InstanceID{"c1", "c2", "c3"}
	for range bootstrapMembers {
		peers = append(peers, freeAddress(g, "127.0.0.1"))
	}
	var control []*anvilcrank.Node
	for i, id := range bootstrapMembers {
		n, _ := startNode(t, anvilcrank.NodeConfig{ID: id, Control: true, PeerListen: peers[i], Peers: peers, BootstrapMembers: bootstrapMembers, Data: t.TempDir()})
		control = append(control, n)
	}
	entryAddress := freeAddress(g, "127.0.0.1")
	entry, done := startNode(t, anvilcrank.NodeConfig{ID: "e1", Listen: entryAddress, PeerListen: freeAddress(g, "127.0.0.1"), Peers: peers})

	release := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Anvilcrank-Attempt", r.Header.Get("Anvilcrank-Attempt"))
		if r.URL.Path == "/a/slow" {
			<-release
		}
		if r.URL.Path == "/a/stuck" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, r.Method, " ", r.URL.Path)
	}))
	t.Cleanup(upstream.Close)
	ctx := t.Context()
	change := []model.Item{
		{Key: model.ItemKey{Kind: model.ServiceItem, Name: "s"}, Version: 1, Service: &model.ServiceSpec{}, Document: []byte("s")},
		{Key: model.ItemKey{Kind: model.RouteItem, Name: "r"}, Version: 1, Document: []byte("r"), Route: &model.Route{
			Host: "h", Prefix: "/a/", Timeout: 20 * time.Second, MaxAttempts: 1, Splits: []model.Split{{Service: "s", Weight: 1}}}},
	}
	g.Eventually(func() error { return control[1].ChangeItems(ctx, change, 0) }).WithTimeout(20 * time.Second).Should(Succeed())
	g.Expect(control[2].Heartbeat(ctx, model.Registration{ID: "u", Service: "s", Zone: "z", Slots: 4, StartTimeMs: 1, Sequence: 1,
		Address: upstream.Listener.Addr().String()})).To(Succeed())
	call := func(path string) (int, string) {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+entryAddress+path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		req.Header.Set("Anvilcrank-Attempt", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	g.Eventually(func() string { _, body := call("/a/x"); return body }).WithTimeout(20 * time.Second).Should(Equal("GET /a/x"))
	g.Eventually(func() []string { return control[0].Directory().Resolve("z", "r") }).WithTimeout(10 * time.Second).Should(Equal([]string{entryAddress}))
	status, _ := call("/none")
	g.Expect(status).To(Equal(404))
	items, err := control[1].Items(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).To(HaveLen(2))

	// A graceful stop completes open requests and removes the instance from
	// lookups. A request that its upstream never answers gets an answer before the
	// end of the grace period.
	slow, stuck := make(chan string, 1), make(chan int, 1)
	go func() { _, body := call("/a/slow"); slow <- body }()
	go func() { status, _ := call("/a/stuck"); stuck <- status }()
	time.Sleep(100 * time.Millisecond)
	stopAt := time.Now().Add(6 * time.Second)
	entry.Stop()
	g.Eventually(func() []string { return control[0].Directory().Resolve("z", "r") }).WithTimeout(5 * time.Second).Should(BeEmpty())
	close(release)
	g.Eventually(slow).WithTimeout(10 * time.Second).Should(Receive(Equal("GET /a/slow")))
	g.Eventually(stuck).WithTimeout(10 * time.Second).Should(Receive(Equal(http.StatusGatewayTimeout)))
	g.Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	g.Expect(time.Now()).To(BeTemporally("<", stopAt))
}

// Guards against an instance that reads request heads of any number of connections
// without a useful limit: they are not in the memory budget yet.
func TestLargeRequestHeadIsRejected(t *testing.T) {
	g := NewWithT(t)
	entry, peers := freeAddress(g, "127.0.0.1"), freeAddress(g, "127.0.0.1")
	startNode(t, anvilcrank.NodeConfig{ID: "e1", Listen: entry, PeerListen: peers})
	for _, address := range []string{entry, peers} {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 256<<10))
		g.Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 12)
		_, err = io.ReadFull(conn, answer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(Equal("HTTP/1.1 431"))
	}
}
