package anvilcrank_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/gateway"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// logBuffer collects the log lines of an instance.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// findEvents returns the fields of all log lines that contain the text and have
// the event code.
func (b *logBuffer) findEvents(text string, code logevent.Code) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for _, line := range strings.Split(b.text.String(), "\n") {
		var parsed struct{ Fields map[string]any }
		if !strings.Contains(line, text) || json.Unmarshal([]byte(line), &parsed) != nil {
			continue
		}
		if parsed.Fields["event"] == float64(code) {
			found = append(found, parsed.Fields)
		}
	}
	return found
}

// Guards against log lines that lack the fields that docs/OPERATIONS.md uses to
// find out why a request failed. The page searches the log for the attempt ID of
// the request. The test sends a request that is rejected, one whose outcome is
// unknown and one that exceeds its deadline.
func TestFailedRequestsAreExplainedByTheirLogs(t *testing.T) {
	g := NewWithT(t)
	peers := []string{freeAddress(g, "127.0.0.1")}
	control, _ := startNode(t, anvilcrank.NodeConfig{ID: "c1", Control: true, PeerListen: peers[0], Peers: peers,
		BootstrapMembers: []model.InstanceID{"c1"}, Data: t.TempDir()})
	logs := &logBuffer{}
	entryAddress := freeAddress(g, "127.0.0.1")
	_, _ = startNode(t, anvilcrank.NodeConfig{ID: "e1", Listen: entryAddress, PeerListen: freeAddress(g, "127.0.0.1"), Peers: peers,
		LogLevel: "info", LogOutput: logs})

	release := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(gateway.DefaultHeaders.AttemptID, r.Header.Get(gateway.DefaultHeaders.AttemptID))
		switch r.URL.Path {
		case "/a/broken":
			panic(http.ErrAbortHandler)
		case "/a/hangs":
			<-release
		}
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(upstream.Close)
	t.Cleanup(func() { close(release) })
	ctx := t.Context()
	service := func(name string) model.Item {
		return model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: name}, Version: 1, Service: &model.ServiceSpec{}, Document: []byte(name)}
	}
	route := func(name, service string) model.Item {
		return model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: name}, Version: 1, Document: []byte(name), Route: &model.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: model.NonIdempotent, Timeout: 500 * time.Millisecond, MaxAttempts: 2,
			Splits: []model.Split{{Service: model.ServiceName(service), Weight: 1}}}}
	}
	change := []model.Item{service("s"), service("empty"), route("a", "s"), route("b", "empty")}
	g.Eventually(func() error { return control.ChangeItems(ctx, change, 0) }).WithTimeout(20 * time.Second).Should(Succeed())
	g.Expect(control.Heartbeat(ctx, model.Registration{ID: "u", Service: "s", Zone: "z", Slots: 4, StartTimeMs: 1, Sequence: 1,
		Address: upstream.Listener.Addr().String()})).To(Succeed())
	call := func(path, attemptID string) int {
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+entryAddress+path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		req.Header.Set(gateway.DefaultHeaders.AttemptID, attemptID)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	g.Eventually(func() int { return call("/a/x", "first") }).WithTimeout(20 * time.Second).Should(Equal(200))
	// rejectedLine waits for the log line that reports the rejection of a request,
	// and returns it. The line is written after the response was sent.
	rejectedLine := func(attemptID string) (line map[string]any) {
		g.Eventually(func() int { return len(logs.findEvents(attemptID, logevent.RequestRejected)) }).WithTimeout(5 * time.Second).Should(Equal(1))
		return logs.findEvents(attemptID, logevent.RequestRejected)[0]
	}

	g.Expect(call("/b/x", "refused-1")).To(Equal(503))
	line := rejectedLine("refused-1")
	g.Expect(line).To(And(HaveKeyWithValue("code", float64(result.NoUpstream)), HaveKeyWithValue("attempts", 0.0),
		HaveKeyWithValue("route", "b"), HaveKeyWithValue("version", 1.0), HaveKey("left_ms"), HaveKey("advice_ms")))

	g.Expect(call("/a/broken", "unknown-1")).To(Equal(502))
	line = rejectedLine("unknown-1")
	g.Expect(line).To(And(HaveKeyWithValue("code", float64(result.UpstreamLost)), HaveKeyWithValue("attempts", 1.0)))
	g.Expect(line["tried"]).To(ConsistOf("u"))
	sends := logs.findEvents("unknown-1", logevent.SendFailed)
	g.Expect(sends).To(HaveLen(1))
	g.Expect(sends[0]).To(And(HaveKeyWithValue("outcome", "lost"), HaveKeyWithValue("upstream", "u"), HaveKey("address"), HaveKey("error")))
	g.Expect(logs.findEvents("unknown-1", logevent.RequestRepeated)).To(BeEmpty())

	g.Eventually(func() int { return call("/a/x", "between") }).WithTimeout(10 * time.Second).Should(Equal(200))
	g.Expect(call("/a/hangs", "late-1")).To(Equal(504))
	line = rejectedLine("late-1")
	g.Expect(line).To(And(HaveKeyWithValue("code", float64(result.DeadlineAfterDispatch)), HaveKeyWithValue("upstream", "u"),
		HaveKey("expected_ms"), HaveKey("load"), HaveKey("report_age_ms")))
	sends = logs.findEvents("late-1", logevent.SendFailed)
	g.Expect(sends).To(HaveLen(1))
	g.Expect(sends[0]).To(HaveKeyWithValue("outcome", "canceled"))

	// The log also shows that the instance knows the upstream and the
	// configuration.
	g.Expect(logs.findEvents(`"u"`, logevent.UpstreamRegistered)).NotTo(BeEmpty())
	g.Expect(logs.findEvents(`"item":"a"`, logevent.ConfigInForce)).NotTo(BeEmpty())
}
