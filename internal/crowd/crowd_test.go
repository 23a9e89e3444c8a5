package crowd_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/crowd"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/platform"
	"github.com/anvilcrank/anvilcrank/platform/standin"
)

const (
	// memoryMB is the memory in the settings of the processes, which must hold.
	memoryMB = 64
	// descriptors is the limit of descriptors in the tests of it.
	descriptors = 300
	// clients is the size of a crowd. Those that send large bodies are fewer.
	clients     = 300
	bodyClients = 100
	// legalHead is the largest head that a configuration allows, largeHead close to the
	// largest that is read at all.
	legalHead = 14_000
	largeHead = 120_000
	// endless is more than anything that a server reads of a head or a line.
	endless = 2_000_000

	// holdTime is how long an attack lasts after the ordinary calls were answered.
	holdTime = time.Second

	bytesPerMegabyte = 1_000_000
)

// daemon is the path of the built program.
var daemon string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program that the tests start, and runs them.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "anvilcrank-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemon = filepath.Join(dir, "anvilcrankd")
	build := exec.Command("go", "build", "-o", daemon, "../../cmd/anvilcrankd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// target is a process under attack, and the listener that is attacked.
type target struct {
	*crowd.Process
	address string
	// answers asks for ordinary answers of the deployment.
	answers func() error
}

// startPlatform starts a deployment for a test.
func startPlatform(t *testing.T, limits crowd.Limits) *crowd.Platform {
	p, err := crowd.StartPlatform(t.TempDir(), daemon, limits)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Stop)
	return p
}

// startInstance starts an instance for a test.
func startInstance(t *testing.T, limits crowd.Limits) *crowd.Instance {
	i, err := crowd.StartInstance(t.TempDir(), daemon, limits)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(i.Stop)
	return i
}

// onPlatform returns a function that starts a deployment and returns the target that pick
// chooses from it.
func onPlatform(pick func(*crowd.Platform) (*crowd.Process, string)) func(*testing.T, crowd.Limits) target {
	return func(t *testing.T, l crowd.Limits) target {
		p := startPlatform(t, l)
		process, address := pick(p)
		return target{process, address, p.Answers}
	}
}

// onInstance is onPlatform for an instance with settings of its own.
func onInstance(address func(*crowd.Instance) string) func(*testing.T, crowd.Limits) target {
	return func(t *testing.T, l crowd.Limits) target {
		i := startInstance(t, l)
		return target{i.Process, address(i), i.Answers}
	}
}

// listeners names the listeners, and starts a target for each.
var listeners = map[string]func(*testing.T, crowd.Limits) target{
	"front":         onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Entry, p.FrontAddress() }),
	"readiness":     onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Entry, p.ReadyAddress() }),
	"metrics":       onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Entry, p.MetricsAddress() }),
	"entry peers":   onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Entry, p.EntryPeerAddress() }),
	"control":       onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Control, p.ControlAddress() }),
	"directory":     onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Control, p.DirectoryAddress() }),
	"control peers": onPlatform(func(p *crowd.Platform) (*crowd.Process, string) { return p.Control, p.ControlPeerAddress() }),
	"own front":     onInstance((*crowd.Instance).Address),
	"own peers":     onInstance((*crowd.Instance).PeerAddress),
}

// allListeners are the names of all listeners, in the order of the tests.
var allListeners = slices.Sorted(maps.Keys(listeners))

// play runs a crowd against a listener of a new deployment. It checks that the process lives,
// that its memory stays within the settings, and that ordinary calls are answered during the
// attack and after it.
func play(t *testing.T, listener string, limits crowd.Limits, size int, a crowd.Attack) {
	g := NewWithT(t)
	target := listeners[listener](t, limits)
	c := crowd.Start(target.address, size, a)
	c.Settle()
	during := target.answers()
	time.Sleep(holdTime)
	c.Close()
	after := target.answers()
	t.Logf("at most %.1f MB of %d MB; unread at most %.1f MB", float64(target.PeakBytes())/bytesPerMegabyte, limits.MemoryMB,
		float64(target.PeakUnreadBytes())/bytesPerMegabyte)
	g.Expect(target.Alive()).To(BeTrue(), "log: %s", target.Log())
	g.Expect(target.PeakBytes()).To(BeNumerically("<=", limits.MemoryMB*bytesPerMegabyte))
	g.Expect(during).NotTo(HaveOccurred(), "during the attack")
	g.Expect(after).NotTo(HaveOccurred(), "after the attack")
}

// runCase runs a test of one listener as a subtest.
func runCase(t *testing.T, listener string, size int, a crowd.Attack) {
	t.Run(listener, func(t *testing.T) {
		if testing.Short() {
			t.Skip("starts processes")
		}
		play(t, listener, crowd.Limits{MemoryMB: memoryMB}, size, a)
	})
}

const (
	readRequest   = "GET /read/x"
	ownRequest    = "GET /s/reads/x"
	writeRequest  = "POST /read/x"
	ownWrite      = "POST /s/reads/x"
	heartbeat     = "POST /instances/i-2/heartbeat"
	announcement  = "POST /v1/announce"
	changeRequest = "POST /config/patch"
)

// writes are the requests with a body, and their listeners.
var writes = []struct{ listener, request string }{{"front", writeRequest}, {"own front", ownWrite}}

// Guards against heads of legal size whose parsed fields need many times their size.
func TestManyShortHeaderLines(t *testing.T) {
	for _, listener := range []string{"front", "own front"} {
		runCase(t, listener, clients, crowd.Attack{Payload: []byte(crowd.Head(readRequest, crowd.ShortLines(legalHead)))})
	}
}

// Guards against the same with lines that have no values.
func TestManyBlankHeaderLines(t *testing.T) {
	for _, listener := range []string{"front", "own front"} {
		runCase(t, listener, clients, crowd.Attack{Payload: []byte(crowd.Head(readRequest, crowd.BlankLines(legalHead)))})
	}
}

// Guards against heads that are larger than allowed but read all the same, at every listener.
func TestLargeHeads(t *testing.T) {
	for _, listener := range allListeners {
		runCase(t, listener, clients, crowd.Attack{Payload: []byte(crowd.Head(readRequest, crowd.ShortLines(largeHead)))})
	}
}

// Guards against one header line again and again, sent piece by piece.
func TestRepeatedHeaderLine(t *testing.T) {
	for _, listener := range []string{"front", "control", "own front"} {
		runCase(t, listener, clients, crowd.Attack{Payload: []byte(crowd.Head(readRequest, crowd.RepeatedLine(largeHead))), InPieces: true})
	}
}

// Guards against a head, a line or empty lines without end.
func TestHeadsWithoutEnd(t *testing.T) {
	for _, c := range []struct{ name, payload string }{
		{"line", crowd.Head(readRequest, "a: ", crowd.Endless("x", endless))},
		{"target", readRequest + crowd.Endless("x", endless)},
		{"empty lines", crowd.Endless("\r\n", endless)},
		{"lines", crowd.Head(readRequest, crowd.Endless("abc:v\r\n", endless))},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, listener := range []string{"front", "control", "own front"} {
				runCase(t, listener, clients, crowd.Attack{Payload: []byte(c.payload)})
			}
		})
	}
}

// Guards against bodies that stop just short of their end after a head of many lines.
func TestUnfinishedBodiesAfterManyLines(t *testing.T) {
	for _, w := range writes {
		runCase(t, w.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(w.request, crowd.ShortLines(legalHead)) + crowd.Body(200_000))})
	}
}

// Guards against bodies of legal size that stop just short of their end, sent piece by piece.
func TestUnfinishedBodies(t *testing.T) {
	for _, w := range writes {
		runCase(t, w.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(w.request) + crowd.Body(200_000)), InPieces: true})
	}
}

// Guards against bodies that are too large to be held, and stop just short of their end.
func TestUnfinishedLargeBodies(t *testing.T) {
	for _, w := range writes {
		runCase(t, w.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(w.request) + crowd.Body(1_000_000))})
	}
}

// Guards against bodies for the control instance and the administration API, which are read
// whole.
func TestUnfinishedCalls(t *testing.T) {
	for _, c := range []struct{ name, request string }{{"heartbeat", heartbeat}, {"change", changeRequest}} {
		t.Run(c.name, func(t *testing.T) {
			runCase(t, "control", bodyClients, crowd.Attack{Payload: []byte(crowd.Head(c.request) + crowd.Body(4_000_000))})
		})
	}
	t.Run("announcement", func(t *testing.T) {
		runCase(t, "own front", clients, crowd.Attack{Payload: []byte(crowd.Head(announcement) + crowd.Body(1_000_000))})
	})
}

// Guards against messages between instances that stop just short of their end, from a client
// that has not said which instance it is.
func TestUnfinishedPeerMessages(t *testing.T) {
	for _, listener := range []string{"entry peers", "control peers", "own peers"} {
		runCase(t, listener, bodyClients, crowd.Attack{Payload: crowd.Upgrade(4_000_000)})
	}
}

// Guards against chunks of one byte, and chunk extensions and trailers without end.
func TestOddChunks(t *testing.T) {
	for _, c := range []struct{ name, body string }{
		{"small", crowd.SmallChunks(200_000)},
		{"extension", crowd.ChunkExtension(endless)},
		{"trailers", crowd.Trailers(endless)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, w := range writes {
				runCase(t, w.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(w.request) + c.body)})
			}
		})
	}
}

// Guards against clients that send many requests at once and read no answer.
func TestUnreadAnswers(t *testing.T) {
	for _, c := range []struct{ listener, request string }{
		{"front", readRequest}, {"own front", ownRequest}, {"directory", "GET /resolve?name=x&zone=z1"}, {"control", "GET /config/get"}, {"metrics", "GET /metrics"},
	} {
		runCase(t, c.listener, clients, crowd.Attack{Payload: crowd.Pipelined(c.request, 300), Unread: true})
	}
}

// Guards against clients that read nothing of a long answer.
func TestUnreadLongAnswers(t *testing.T) {
	for _, c := range []struct{ listener, request string }{{"front", "GET /read" + crowd.LongPath}, {"own front", "GET /s/reads" + crowd.LongPath}} {
		runCase(t, c.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(c.request) + "\r\n"), Unread: true})
	}
}

// Guards against clients that announce a body and wait to be asked for it.
func TestExpectedBodies(t *testing.T) {
	for _, w := range writes {
		runCase(t, w.listener, clients, crowd.Attack{Payload: []byte(crowd.Head(w.request, "Expect: 100-continue\r\n", "Content-Length: 200000\r\n") + "\r\n")})
	}
}

// Guards against connections that are opened and reset at once, with and without a request.
func TestConnectionsResetAtOnce(t *testing.T) {
	for _, c := range []struct{ name, payload string }{{"empty", ""}, {"request", crowd.Head(readRequest) + "\r\n"}} {
		t.Run(c.name, func(t *testing.T) {
			runCase(t, "front", clients, crowd.Attack{Payload: []byte(c.payload), Reset: true})
		})
	}
}

// Guards against callers that open so many connections that the process has no descriptor
// left, and against those callers keeping ordinary ones out.
func TestIdleConnections(t *testing.T) {
	for _, listener := range allListeners {
		t.Run(listener, func(t *testing.T) {
			if testing.Short() {
				t.Skip("starts processes")
			}
			g := NewWithT(t)
			target := listeners[listener](t, crowd.Limits{MemoryMB: memoryMB, Descriptors: descriptors})
			c := crowd.Start(target.address, descriptors+100, crowd.Attack{})
			c.Settle()
			during := target.answers()
			c.Close()
			open := target.PeakDescriptors()
			t.Logf("%d descriptors of %d", open, descriptors)
			g.Expect(target.Alive()).To(BeTrue(), "log: %s", target.Log())
			g.Expect(open).To(BeNumerically("<", descriptors))
			g.Expect(during).NotTo(HaveOccurred(), "during the attack")
			g.Expect(target.answers()).To(Succeed(), "after the attack")
		})
	}
}

// Guards against limits that a single client meets although it keeps to the configured limits.
func TestLegalRequestsInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	g := NewWithT(t)
	const (
		maxHeaderBytes = 16_384
		maxBodyBytes   = 64 << 20
		idleTimeoutMs  = 5_000
	)
	p := startPlatform(t, crowd.Limits{MemoryMB: 284, Descriptors: 4_100})
	g.Expect(p.SetLimits(standin.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMs: 3_000, IdleTimeoutMs: idleTimeoutMs, Version: 1})).To(Succeed())
	fill := func(text func(int) string) string {
		start := crowd.Head(readRequest)
		return start + text(maxHeaderBytes-len(start)-len("\r\n")) + "\r\n"
	}
	for _, c := range []struct{ name, request string }{
		{"shortest lines", fill(crowd.RepeatedLine)},
		{"many names", fill(crowd.BlankLines)},
		{"one long line", fill(func(size int) string { return "a:" + crowd.Endless("x", size-4) + "\r\n" })},
		{"large body", crowd.Head(writeRequest) + crowd.Body(maxBodyBytes) + "x"},
		{"one-byte chunks", crowd.Head(writeRequest) + crowd.SmallChunks(300_000) + "0\r\n\r\n"},
		{"body after lines", fill(func(size int) string { return "Content-Length: 100000\r\n" + crowd.BlankLines(size-30) }) + crowd.Endless("x", 100_000)},
	} {
		status, err := crowd.Exchange(p.FrontAddress(), []byte(c.request))
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		g.Expect(status).To(Equal(http.StatusOK), c.name)
	}
	conn, err := net.Dial("tcp", p.FrontAddress())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for range 2 {
		status, err := crowd.ExchangeOn(conn, []byte(crowd.Head(readRequest)+"\r\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		// Callers may reuse a connection that has been idle for four fifths of the timeout.
		time.Sleep(idleTimeoutMs * 4 / 5 * time.Millisecond)
	}
	g.Expect(p.Entry.Alive()).To(BeTrue())
}

// Guards against a configured idle timeout that is not applied.
func TestConfiguredIdleTimeout(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	g := NewWithT(t)
	p := startPlatform(t, crowd.Limits{MemoryMB: memoryMB})
	g.Expect(p.SetLimits(standin.Limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 1_000, IdleTimeoutMs: 1_000, Version: 1})).To(Succeed())
	conn, err := net.Dial("tcp", p.FrontAddress())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	status, err := crowd.ExchangeOn(conn, []byte(crowd.Head(readRequest)+"\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	// Less than the timeout that applies without a configuration.
	g.Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// Guards against names that callers choose and that are kept although they are never seen again.
func TestNamesThatAreNeverSeenAgain(t *testing.T) {
	const requests = 200
	// each returns many whole requests, in which the mark stands for a new name.
	each := func(request string) func(client, round int) []byte {
		return func(client, round int) []byte {
			var b strings.Builder
			for i := range requests {
				name := fmt.Sprintf("n%d-%d-%d-%s", client, round, i, crowd.Endless("x", 100))
				b.WriteString(strings.ReplaceAll(request, "MARK", name))
			}
			return []byte(b.String())
		}
	}
	for _, c := range []struct{ name, listener, request string }{
		{"hosts", "front", "GET /read/x HTTP/1.1\r\nHost: MARK\r\n\r\n"},
		{"paths", "front", crowd.Head("GET /read/MARK") + "\r\n"},
		{"unknown paths", "front", crowd.Head("GET /MARK/x") + "\r\n"},
		{"affinity keys", "front", crowd.Head(readRequest, platform.Headers.AffinityKey+": MARK\r\n") + "\r\n"},
		{"attempts", "front", crowd.Head(readRequest, platform.Headers.AttemptID+": MARK\r\n") + "\r\n"},
		{"tenants", "own front", crowd.Head(ownRequest, proxy.HeaderTenant+": MARK\r\n") + "\r\n"},
		{"services", "own front", crowd.Head("GET /s/MARK/x") + "\r\n"},
		{"lookups", "directory", crowd.Head("GET /resolve?name=MARK&zone=MARK&region=MARK") + "\r\n"},
		{"own lookups", "own front", crowd.Head("GET /v1/lookup?service=MARK&client=MARK&zone=MARK") + "\r\n"},
		{"malformed beats", "control", crowd.Head("POST /instances/MARK/heartbeat", "Content-Length: 1\r\n\r\n") + "{"},
		{"malformed bytes", "front", "MARK\r\n\r\n"},
		{"malformed fields", "front", crowd.Head(readRequest, "MARK\x01: \x02\r\n") + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCase(t, c.listener, bodyClients, crowd.Attack{Each: each(c.request)})
		})
	}
}
