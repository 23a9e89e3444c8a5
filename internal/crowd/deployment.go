package crowd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/platform"
	"github.com/anvilcrank/anvilcrank/platform/standin"
)

const (
	host = standin.Host
	// answerTimeout limits how long an ordinary caller goes on asking, attemptTimeout how
	// long it waits for one answer.
	answerTimeout  = 30 * time.Second
	attemptTimeout = 5 * time.Second
	retryDelay     = 200 * time.Millisecond
	heartbeatDelay = 400 * time.Millisecond
	metricsPort    = 9464
)

// Limits are the limits in the settings of the processes.
type Limits struct {
	MemoryMB int
	// Descriptors is also the limit that the kernel enforces, 0 for that of the test.
	Descriptors int
}

// Platform is a small deployment with the platform's roles: one control instance, one entry
// instance and one upstream.
type Platform struct {
	Control, Entry *Process
	ports          standin.Ports
	cancel         context.CancelFunc
	upstream       *standin.Upstream
	server         net.Listener
	operator       standin.Operator
}

// silentObserver ignores the requests that upstreams receive.
type silentObserver struct{}

// RequestReceived implements standin.RequestObserver.
func (silentObserver) RequestReceived(_, _, _, _ string) {}

// RequestExecuted implements standin.RequestObserver.
func (silentObserver) RequestExecuted(_, _, _, _ string) {}

// BodyReceived implements standin.RequestObserver.
func (silentObserver) BodyReceived(_, _ string, _ int, _ bool) {}

// processIP returns the loopback address of a process. It contains the process ID of the
// test, so that concurrent tests use different addresses.
func processIP(index int) string {
	const minSecondOctet = 128 // of 127.0.0.0/8
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", minSecondOctet+(pid>>8)%64, pid%256, index+1)
}

// StartPlatform starts a deployment and waits until it serves.
func StartPlatform(folder, daemon string, limits Limits) (*Platform, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{ports: standin.Ports{Front: 20100, Ready: 20101, Control: 20102, Directory: 20103, Internal: 20104}, cancel: cancel}
	nodes := []standin.Node{
		{Name: "c0", IP: processIP(0), Control: true, DataDir: filepath.Join(folder, "data")},
		{Name: "e0", IP: processIP(1)},
	}
	for i, node := range nodes {
		node.Zone, node.Seeds, node.Bootstrap = "z1", []string{processIP(0)}, true
		node.MemoryMB, node.Descriptors, node.SingleControl = limits.MemoryMB, limits.Descriptors, true
		settings := filepath.Join(folder, node.Name+".toml")
		if err := os.WriteFile(settings, []byte(node.SettingsFile(p.ports, map[string]string{"z1": "r1"})), 0o600); err != nil {
			return nil, err
		}
		process, err := startProcess(folder, node.Name, node.IP, limits.Descriptors, []string{platform.SettingsFileVariable + "=" + settings}, daemon, "--platform")
		if err != nil {
			return nil, err
		}
		*[]**Process{&p.Control, &p.Entry}[i] = process
	}
	// The stand-in sends the heartbeats of the plain server.
	p.upstream = &standin.Upstream{ID: "i-1", Service: "reads", Zone: "z1", Slots: 8}
	client := &http.Client{Timeout: attemptTimeout}
	if err := p.upstream.Start(silentObserver{}, client); err != nil {
		return nil, err
	}
	server, err := startServer()
	if err != nil {
		return nil, err
	}
	p.server = server
	p.upstream.AdvertisedAddress = server.Addr().String()
	go repeat(ctx, func() { p.upstream.Heartbeat(ctx, p.ControlAddress()) })
	p.operator = standin.Operator{HTTP: client}
	routes := []standin.Route{{Name: "read", Prefix: "/read/", Kind: "safe", Service: "reads", TimeoutMs: 2000, MaxAttempts: 2, Version: 1}}
	return p, within(answerTimeout, func() error {
		if status := p.operator.Patch(ctx, p.ControlAddress(), routes, []string{"reads"}); status != http.StatusOK {
			return fmt.Errorf("the configuration got status %d", status)
		}
		return p.Ask()
	})
}

const (
	// LongPath is the end of the path of requests that get an answer of longAnswerBytes.
	LongPath        = "/long"
	longAnswerBytes = 4 << 20
)

// startServer starts the plain HTTP server that is the upstream. It ends when its listener is
// closed.
func startServer() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	longAnswer := bytes.Repeat([]byte("x"), longAnswerBytes)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if id := r.Header.Get(platform.Headers.AttemptID); id != "" {
				w.Header().Set(platform.Headers.AttemptID, id)
			}
			if strings.HasSuffix(r.URL.Path, LongPath) {
				_, _ = w.Write(longAnswer)
				return
			}
			fmt.Fprintln(w, "answer")
		}))
	}()
	return l, nil
}

// repeat calls f until the context ends.
func repeat(ctx context.Context, f func()) {
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatDelay):
		}
	}
}

// within calls f again and again until it succeeds, and returns its last error if it does not
// within the timeout.
func within(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(retryDelay)
	}
}

// ControlAddress returns the address for upstreams and operators.
func (p *Platform) ControlAddress() string { return address(p.Control, p.ports.Control) }

// DirectoryAddress returns the address for lookups.
func (p *Platform) DirectoryAddress() string { return address(p.Control, p.ports.Directory) }

// FrontAddress returns the address for callers.
func (p *Platform) FrontAddress() string { return address(p.Entry, p.ports.Front) }

// ReadyAddress returns the address for readiness checks.
func (p *Platform) ReadyAddress() string { return address(p.Entry, p.ports.Ready) }

// MetricsAddress returns the address of the entry instance's metrics.
func (p *Platform) MetricsAddress() string { return address(p.Entry, metricsPort) }

// EntryPeerAddress returns the address of the entry instance for other instances.
func (p *Platform) EntryPeerAddress() string { return address(p.Entry, p.ports.Internal) }

// ControlPeerAddress returns the address of the control instance for other instances.
func (p *Platform) ControlPeerAddress() string { return address(p.Control, p.ports.Internal) }

func address(p *Process, port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

// Ask makes one ordinary call of each kind. It returns an error if one is not answered.
func (p *Platform) Ask() error {
	calls := []struct{ what, url string }{
		{"request", "http://" + p.FrontAddress() + "/read/x"},
		{"readiness", "http://" + p.ReadyAddress() + "/readiness"},
		{"lookup", "http://" + p.DirectoryAddress() + "/resolve?name=" + host + "&zone=z1&region=r1"},
		{"configuration", "http://" + p.ControlAddress() + "/config/get"},
	}
	for _, call := range calls {
		if err := get(call.url); err != nil {
			return fmt.Errorf("%s: %w", call.what, err)
		}
	}
	return nil
}

// SetLimits sets the limits on clients, and waits until the entry instance applies them: it then
// refuses a head that is too large.
func (p *Platform) SetLimits(l standin.Limits) error {
	if status := p.operator.PatchLimits(context.Background(), p.ControlAddress(), l); status != http.StatusOK {
		return fmt.Errorf("the limits got status %d", status)
	}
	tooLarge := Head("GET /read/x", "a: "+Endless("x", 2*l.MaxHeaderBytes)+"\r\n") + "\r\n"
	return within(answerTimeout, func() error {
		status, err := Exchange(p.FrontAddress(), []byte(tooLarge))
		if err == nil && status != http.StatusRequestHeaderFieldsTooLarge {
			err = fmt.Errorf("status %d for a head that is too large", status)
		}
		return err
	})
}

// Exchange sends the bytes of one request on a connection of its own and returns the status of
// the response.
func Exchange(address string, request []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", address, ioTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return ExchangeOn(conn, request)
}

// ExchangeOn sends the bytes of one request on a connection and returns the status of the
// response, which it reads to its end.
func ExchangeOn(conn net.Conn, request []byte) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(request)
		written <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		// A refusal may come before the end of the request.
		return resp.StatusCode, nil
	}
	return resp.StatusCode, <-written
}

// Answers asks until every ordinary call is answered, for as long as an ordinary caller does.
func (p *Platform) Answers() error { return within(answerTimeout, p.Ask) }

// Stop kills the processes and ends the upstream.
func (p *Platform) Stop() {
	p.cancel()
	p.Entry.Kill()
	p.Control.Kill()
	p.upstream.Crash()
	_ = p.server.Close()
}

// get makes one call on a connection of its own and returns an error if the status is not 200
// or the response is not whole.
func get(url string) error {
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Instance is one instance with settings of its own, in YAML, and one upstream.
type Instance struct {
	*Process
	upstream net.Listener
	cancel   context.CancelFunc
}

const (
	instancePort     = 20200
	instancePeerPort = 20201
)

// instanceSettings are the settings of an instance: two listen addresses and the memory.
const instanceSettings = `instance: a-1
zone: a
listen: %s:%d
peer_listen: %s:%d
%s
bootstrap:
  zones:
    - {zone: a, region: r}
  roster:
    - {id: a-1, zone: a}
  profiles:
    - {name: p, class: short, repeat: freely, max_attempts: 3, hedge: false, deadline: 3s, queue_limit: 500, spill: any}
  services:
    - {name: reads, profile: p}
`

// StartInstance starts an instance and waits until it serves.
func StartInstance(folder, daemon string, limits Limits) (*Instance, error) {
	ip := processIP(2)
	limitLines := fmt.Sprintf("memory_mb: %d", limits.MemoryMB)
	settings := filepath.Join(folder, "a-1.yaml")
	text := fmt.Sprintf(instanceSettings, ip, instancePort, ip, instancePeerPort, limitLines)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	process, err := startProcess(folder, "a-1", ip, limits.Descriptors, nil, daemon, settings)
	if err != nil {
		return nil, err
	}
	i := &Instance{Process: process}
	if i.upstream, err = startServer(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go repeat(ctx, i.announcer())
	return i, within(answerTimeout, i.Ask)
}

// announcer returns a function that announces the upstream.
func (i *Instance) announcer() func() {
	client := &http.Client{Timeout: attemptTimeout}
	first := true
	return func() {
		body, _ := json.Marshal(map[string]any{"upstream": "u-1", "incarnation": 1, "service": "reads", "zone": "a",
			"address": i.upstream.Addr().String(), "slots": 8, "connections": 100, "state": "serving", "first": first}) // cannot fail
		resp, err := client.Post("http://"+i.Address()+"/v1/announce", "application/json", bytes.NewReader(body))
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		first = first && resp.StatusCode != http.StatusOK
	}
}

// Address returns the address for callers, upstreams and operators.
func (i *Instance) Address() string { return address(i.Process, instancePort) }

// PeerAddress returns the address for other instances.
func (i *Instance) PeerAddress() string { return address(i.Process, instancePeerPort) }

// Ask makes one ordinary request and one lookup. It returns an error if one is not answered.
func (i *Instance) Ask() error {
	for _, path := range []string{"/s/reads/x", "/v1/lookup?service=reads"} {
		if err := get("http://" + i.Address() + path); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// Answers asks until every ordinary call is answered, for as long as an ordinary caller does.
func (i *Instance) Answers() error { return within(answerTimeout, i.Ask) }

// Stop kills the process and ends the upstream.
func (i *Instance) Stop() {
	i.cancel()
	i.Kill()
	_ = i.upstream.Close()
}
