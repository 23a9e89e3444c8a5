package anvilcrank_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// readSlowly requests a path, reads the answer at a rate in bytes per second and returns the
// length of the body that arrived.
func readSlowly(address, path string, rate int) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return 0, err
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nAnvilcrank-Attempt: 1\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	const interval = 20 * time.Millisecond
	buffer := make([]byte, int(int64(rate)*int64(interval)/int64(time.Second)))
	for got := 0; ; {
		n, err := io.ReadFull(resp.Body, buffer)
		got += n
		if err != nil {
			return got, nil
		}
		time.Sleep(interval)
	}
}

// Guards against a planned stop that cuts answers which their callers are still reading, long
// before the end of the grace period: a request counted as ended before its answer was
// written.
func TestStopCompletesAnswersThatAreReadSlowly(t *testing.T) {
	if testing.Short() {
		t.Skip("takes most of a grace period")
	}
	g := NewWithT(t)
	const answerBytes = 540_000
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Anvilcrank-Attempt", r.Header.Get("Anvilcrank-Attempt"))
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	t.Cleanup(upstream.Close)
	peers := []string{freeAddress(g, "127.0.0.1")}
	control, _ := startNode(t, anvilcrank.NodeConfig{ID: "c1", Control: true, PeerListen: peers[0], Peers: peers, BootstrapMembers: []model.InstanceID{"c1"}, Data: t.TempDir()})
	address := freeAddress(g, "127.0.0.1")
	entry, done := startNode(t, anvilcrank.NodeConfig{ID: "e1", Listen: address, PeerListen: freeAddress(g, "127.0.0.1"), Peers: peers},
		func(n *anvilcrank.Node) { n.LimitWriteBuffers(32 << 10) })
	change := []model.Item{
		{Key: model.ItemKey{Kind: model.ServiceItem, Name: "s"}, Version: 1, Service: &model.ServiceSpec{}, Document: []byte("s")},
		{Key: model.ItemKey{Kind: model.RouteItem, Name: "r"}, Version: 1, Document: []byte("r"), Route: &model.Route{
			Host: "h", Prefix: "/a/", Timeout: 20 * time.Second, MaxAttempts: 1, Splits: []model.Split{{Service: "s", Weight: 1}}}},
	}
	g.Eventually(func() error { return control.ChangeItems(t.Context(), change, 0) }).WithTimeout(20 * time.Second).Should(Succeed())
	g.Expect(control.Heartbeat(t.Context(), model.Registration{ID: "u", Service: "s", Zone: "z", Slots: 8, StartTimeMs: 1, Sequence: 1,
		Address: upstream.Listener.Addr().String()})).To(Succeed())
	g.Eventually(func() int { got, _ := readSlowly(address, "/a/x", 100_000_000); return got }).WithTimeout(20 * time.Second).Should(Equal(answerBytes))

	entry.Stop()
	stoppedAt := time.Now()
	var wg sync.WaitGroup
	var got [4]int
	var errs [4]error
	for i := range got {
		wg.Go(func() {
			time.Sleep(2*time.Second + time.Duration(i)*250*time.Millisecond)
			got[i], errs[i] = readSlowly(address, "/a/x", 300_000)
		})
	}
	wg.Wait()
	g.Expect(errs).To(HaveEach(Succeed()))
	g.Expect(got).To(HaveEach(answerBytes))
	g.Eventually(done).WithTimeout(time.Second).Should(Receive(BeNil()))
	g.Expect(time.Since(stoppedAt)).To(BeNumerically("<", 6*time.Second))
}

// Guards against an order that is answered as not applied although it may still be committed,
// because the instance that took it stops.
func TestOrderThatIsOpenAtAStopHasAnUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	peers := []string{freeAddress(g, "127.0.0.1"), freeAddress(g, "127.0.0.1"), freeAddress(g, "127.0.0.1")}
	control, _ := startNode(t, anvilcrank.NodeConfig{ID: "c1", Control: true, PeerListen: peers[0], Peers: peers,
		BootstrapMembers: []model.InstanceID{"c1", "c2", "c3"}, Data: t.TempDir()})
	answered := make(chan error, 1)
	go func() { answered <- control.Evacuate(t.Context(), "z", true, 0) }()
	g.Consistently(answered).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
	control.Stop()
	var err error
	g.Eventually(answered).WithTimeout(3 * time.Second).Should(Receive(&err))
	var coded *result.Error
	g.Expect(errors.As(err, &coded)).To(BeTrue())
	g.Expect(coded.Code.Class()).To(Equal(result.OutcomeUnknown), "%v", err)
}
