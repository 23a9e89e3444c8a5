package anvilcrank_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// startInstance runs one instance with two services. Requests for "reads" are
// idempotent and may be retried; requests for "writes" are never retried. The
// channel receives the result of Run.
func startInstance(t testing.TB) (*anvilcrank.Instance, chan error) {
	t.Helper()
	profile := func(name string, repeat model.RetryPolicy, attempts int) settings.Profile {
		return settings.Profile{Name: name, Class: "short", Repeat: repeat, MaxAttempts: attempts,
			Deadline: settings.Duration(20 * time.Second), QueueLimit: 100, Spill: model.SpillAny}
	}
	i, err := anvilcrank.New(&settings.Settings{
		Instance: "a-1", Zone: "a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", RecordedEvents: 10_000,
		Bootstrap: &settings.Bootstrap{
			Zones:    []settings.Zone{{Zone: "a", Region: "r"}},
			Roster:   []settings.RosterEntry{{ID: "a-1", Zone: "a"}},
			Profiles: []settings.Profile{profile("freely", model.RetryIdempotent, 3), profile("never", model.RetryNever, 1)},
			Services: []settings.Service{{Name: "reads", Profile: "freely"}, {Name: "writes", Profile: "never"}},
		},
	}, anvilcrank.Options{
		Logger:      &log.Logger{Handler: discard.New()},
		OnInvariant: func(f event.InvariantFailed) { t.Errorf("invariant %s: %s", f.Name, f.Detail) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		done <- i.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return i, done
}

// announceInterval is the interval between two announcements of a test upstream.
const announceInterval = 500 * time.Millisecond

// announce registers the server as an upstream of the service and repeats the
// announcement until the test ends.
func announce(t testing.TB, i *anvilcrank.Instance, service string, upstream *httptest.Server) {
	t.Helper()
	a := model.Announcement{Upstream: model.UpstreamID(service + "-1"), Incarnation: 1,
		Service: model.ServiceName(service), Zone: "a", Address: upstream.Listener.Addr().String(),
		Slots: 3, MaxConnections: 40, State: model.Serving, First: true}
	post := func() int {
		body, _ := json.Marshal(a)
		resp, err := http.Post("http://"+i.Address()+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	g := NewWithT(t)
	g.Eventually(post, "5s").Should(Equal(http.StatusOK))
	a.First = false
	g.Expect(post()).To(Equal(http.StatusOK))
	ticker := time.NewTicker(announceInterval)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				post()
			case <-done:
				return
			}
		}
	}()
}

// get sends a GET request and reads the response.
func get(t *testing.T, url string) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// closeAfterRequest is an HTTP handler that closes the connection without a
// response.
func closeAfterRequest(w http.ResponseWriter) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.Close()
}

// Guards against a response body that was truncated at the upstream but looks
// complete to the caller.
func TestTruncatedBodyBreaksTheCallersConnection(t *testing.T) {
	g := NewWithT(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer upstream.Close()
	i, _ := startInstance(t)
	announce(t, i, "writes", upstream)
	_, body, err := get(t, "http://"+i.Address()+"/s/writes/x")
	g.Expect(err).To(HaveOccurred(), "body %q ended cleanly", body)
}

// Guards against an HTTP transport that resends a request on its own after a
// kept-alive connection broke: the upstream may have executed the first attempt.
func TestBrokenKeptAliveConnectionIsNotRetriedByTheTransport(t *testing.T) {
	g := NewWithT(t)
	var writes atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		if r.URL.Path == "/x" {
			writes.Add(1)
		}
		closeAfterRequest(w)
	}))
	defer upstream.Close()
	i, _ := startInstance(t)
	announce(t, i, "writes", upstream)
	for n, method := range []string{http.MethodGet, http.MethodPost} {
		_, _, err := get(t, "http://"+i.Address()+"/s/writes/warm")
		g.Expect(err).NotTo(HaveOccurred())
		req, _ := http.NewRequest(method, "http://"+i.Address()+"/s/writes/x", nil)
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		g.Expect(resp.Header.Get("Anvilcrank-Code")).To(Equal("3001"))
		g.Expect(writes.Load()).To(BeEquivalentTo(n + 1))
	}
}

// Guards against reporting that the outcome of a request is unknown although the
// upstream refused the connection, so that no byte of the request was sent.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	upstream := httptest.NewServer(http.NotFoundHandler())
	i, _ := startInstance(t)
	announce(t, i, "writes", upstream)
	upstream.Close()
	resp, body, err := get(t, "http://"+i.Address()+"/s/writes/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(body).To(ContainSubstring(`"class":"not_run"`))
}

// Guards against relaying an upstream's response to the caller although it is
// marked as not run and the request can be retried.
func TestUpstreamRefusalIsRetriedWhereAllowed(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) < 3 {
			w.Header().Set("Anvilcrank-Not-Run", "1")
			w.WriteHeader(503)
			return
		}
		w.Header().Set("Trailer", "Checksum")
		_, _ = io.WriteString(w, "whole")
		w.Header().Set("Checksum", "ok")
	}))
	defer upstream.Close()
	i, _ := startInstance(t)
	announce(t, i, "reads", upstream)
	resp, body, err := get(t, "http://"+i.Address()+"/s/reads/x?q=1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("whole"))
	g.Expect(resp.Trailer.Get("Checksum")).To(Equal("ok"))
	g.Expect(calls.Load()).To(BeEquivalentTo(3))
}

// Guards against invalid requests that crash the instance or are answered without
// a result code.
func TestInvalidRequestsAreAnsweredWithAResultCode(t *testing.T) {
	i, _ := startInstance(t)
	NewWithT(t).Eventually(func() string { return lookupCode(i, "reads") }, "5s").Should(Equal(""))
	base := "http://" + i.Address()
	cases := []struct {
		name, method, path, header, value, body, code string
	}{
		{"unknown service", "GET", "/s/nothing/x", "", "", "", "1003"},
		{"unknown path", "GET", "/nothing", "", "", "", "1010"},
		{"lookup of unknown service", "GET", "/v1/lookup?service=nothing", "", "", "", "1003"},
		{"announcement that is not JSON", "POST", "/v1/announce", "", "", "{", "1001"},
		{"announcement with data after it", "POST", "/v1/announce", "", "", `{"upstream":"u","incarnation":1,"service":"reads","zone":"a","address":"127.0.0.1:1","slots":1,"connections":1,"state":"serving"} {}`, "1001"},
		{"announcement with a negative number in flight", "POST", "/v1/announce", "", "", `{"upstream":"u","incarnation":1,"service":"reads","zone":"a","address":"127.0.0.1:1","slots":1,"connections":1,"state":"serving","in_flight":-1}`, "1001"},
		{"announcement with unknown field", "POST", "/v1/announce", "", "", `{"slotz":1}`, "1001"},
		{"announcement without slots", "POST", "/v1/announce", "", "", `{"upstream":"u","incarnation":1,"service":"reads","zone":"a","address":"127.0.0.1:1","slots":0,"connections":1,"state":"serving"}`, "1001"},
		{"deadline that is no number", "GET", "/s/reads/x", "Anvilcrank-Deadline-Ms", "soon", "", "1002"},
		{"key without issue time", "POST", "/s/writes/x", "Idempotency-Key", "abc", "", "1004"},
		{"no upstream", "GET", "/s/reads/x", "", "", "", "2004"},
		{"tenant that is too long", "GET", "/s/reads/x", "Anvilcrank-Tenant", strings.Repeat("t", 200), "", "1002"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			req, _ := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
			if c.header != "" {
				req.Header.Set(c.header, c.value)
			}
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			g.Expect(resp.Header.Get("Anvilcrank-Code")).To(Equal(c.code))
			var answer struct{ Code int }
			g.Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
			g.Expect(fmt.Sprint(answer.Code)).To(Equal(c.code))
		})
	}
	t.Run("header that is too large", func(t *testing.T) {
		g := NewWithT(t)
		req, _ := http.NewRequest("GET", base+"/s/reads/x", nil)
		req.Header.Set("Large", strings.Repeat("x", 128<<10))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			g.Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
			_ = resp.Body.Close()
		}
		g.Expect(lookupCode(i, "reads")).To(Equal(""))
	})
	t.Run("body that is too large", func(t *testing.T) {
		g := NewWithT(t)
		conn, err := net.Dial("tcp", i.Address())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprintf(conn, "POST /s/writes/x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n")
		head := make([]byte, 512)
		n, _ := conn.Read(head)
		g.Expect(string(head[:n])).To(ContainSubstring("Anvilcrank-Code: 1007"))
	})
}

// lookupCode returns the result code of a lookup of the service. It is empty if
// the lookup succeeds.
func lookupCode(i *anvilcrank.Instance, service string) string {
	resp, err := http.Get("http://" + i.Address() + "/v1/lookup?service=" + service)
	if err != nil {
		return err.Error()
	}
	_ = resp.Body.Close()
	return resp.Header.Get("Anvilcrank-Code")
}

// Guards against three failures of a graceful stop: a download in flight is
// truncated, lookups still return the instance, or the instance does not exit
// after its last request has ended.
func TestGracefulStopCompletesRequestsInFlight(t *testing.T) {
	if testing.Short() {
		t.Skip("takes longer than the lookup TTL")
	}
	g := NewWithT(t)
	release := make(chan struct{})
	started := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		close(started)
		<-release
		_, _ = io.WriteString(w, "second")
	}))
	defer upstream.Close()
	i, done := startInstance(t)
	announce(t, i, "reads", upstream)
	bodies := make(chan string, 1)
	go func() {
		_, body, _ := get(t, "http://"+i.Address()+"/s/reads/x")
		bodies <- body
	}()
	<-started
	i.Stop()
	g.Eventually(func() string {
		_, body, _ := get(t, "http://"+i.Address()+"/v1/lookup?service=reads")
		return body
	}, "2s").Should(ContainSubstring(`"instances":[]`))
	g.Consistently(done, "5500ms").ShouldNot(Receive())
	close(release)
	g.Eventually(bodies, "2s").Should(Receive(Equal("first second")))
	g.Eventually(done, "3s").Should(Receive(BeNil()))
}

// Guards against an instance that never stops because a response with an invalid status ended
// the goroutine of its request.
func TestInstanceStopsAfterAResponseWithAnInvalidStatus(t *testing.T) {
	if testing.Short() {
		t.Skip("takes longer than the lookup TTL")
	}
	g := NewWithT(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		defer conn.Close()
		fmt.Fprint(conn, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok")
	}))
	defer upstream.Close()
	i, done := startInstance(t)
	announce(t, i, "reads", upstream)
	announce(t, i, "writes", upstream)
	for _, service := range []string{"reads", "writes"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+i.Address()+"/s/"+service+"/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set(proxy.HeaderDeadline, "1000")
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	}
	i.Stop()
	g.Eventually(done, "8s").Should(Receive(BeNil()))
}

// Guards against a reducer whose effects depend on anything other than the
// recorded events. A replay of the recording would then produce different
// effects.
func TestRecordingReplaysToTheSameEffects(t *testing.T) {
	g := NewWithT(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer upstream.Close()
	i, _ := startInstance(t)
	announce(t, i, "reads", upstream)
	for range 50 {
		_, body, err := get(t, "http://"+i.Address()+"/s/reads/x")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	path := filepath.Join(t.TempDir(), "events")
	g.Expect(i.Dump(path)).To(Succeed())
	report, err := control.ReplayFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.FirstMismatch).To(Equal(-1))
	g.Expect(report.Events).To(BeNumerically(">=", 150))
}
