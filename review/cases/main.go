//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a case, which runs for 120 s at most.
const maxLength = 115 * time.Second

// scenario is what a case plays. It returns the sentences that say how the rule was
// broken, none if it held.
type scenario func(*env) ([]string, error)

var scenarios = map[string]scenario{}

// env is what a scenario uses.
type env struct {
	d        *deployment
	operator *operator
	record   *record
	// trouble is false if the disruption is to be left out.
	trouble bool
	servers []*server
}

var errNotReady = errors.New("the deployment did not become ready")

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD PROGRAM [ARGUMENT ...]")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3:]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string, program []string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Fprintln(os.Stderr, "kept:", folder)
		}
	}()
	d, err := newDeployment(folder, program, 3, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	e := &env{d: d, operator: newOperator(r), record: r, trouble: os.Getenv("TROUBLE") != "0"}
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := s(e)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-signals:
		o.err = errors.New("interrupted")
	case <-time.After(maxLength):
		o.err = errors.New("the case took too long")
	}
	d.killAll()
	for _, srv := range e.servers {
		srv.end()
	}
	switch {
	case o.err != nil:
		r.add("verdict", "could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitFailed
	case len(o.broken) > 0:
		r.add("verdict", "broken: %s", strings.Join(o.broken, "; "))
		fmt.Println("broken:", strings.Join(o.broken, "; "))
		return exitBroken
	}
	r.add("verdict", "held")
	fmt.Println("held")
	return exitHeld
}

// begin starts the processes, sends the first configuration, and waits until the
// directory names entry machines.
func (e *env) begin(first object) error {
	if err := e.d.startAll(true); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if e.operator.order(e.d.controls(), "/config/patch", object{"upsert": first}, 20*time.Second) != 200 {
		return errNotReady
	}
	return nil
}

// settle waits until all entry machines are ready and the directory names some.
func (e *env) settle(c *clients) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		c.resolve()
		c.mu.Lock()
		named := len(c.addresses) == len(e.d.entries())
		c.mu.Unlock()
		if named && e.allReady() {
			// The control group has all its members by now.
			time.Sleep(5 * time.Second)
			return nil
		}
	}
	return errNotReady
}

// allReady reports whether all entry machines say that they are ready.
func (e *env) allReady() bool {
	client := &http.Client{Timeout: time.Second}
	for _, m := range e.d.entries() {
		resp, err := client.Get("http://" + m.address(readyPort) + "/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// addServer starts a server.
func (e *env) addServer(id, service, zone string) (*server, error) {
	s, err := startServer(id, service, zone, e.d.controls(), e.record)
	if err == nil {
		e.servers = append(e.servers, s)
	}
	return s, err
}
