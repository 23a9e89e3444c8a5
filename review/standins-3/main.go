// Command standins3 plays the cases of the third review that cannot be put as a day: it starts
// the project's daemon as separate processes on loopback addresses, and plays the platform, the
// operator, clients and servers as the users' pages describe them.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE DAEMON RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(cannotRun)
	}
	play, ok := map[string]func(daemon string, trouble bool, r *record) (int, error){
		"firststart": playFirstStart,
		"firstack":   playFirstAck,
		"smuggled":   playSmuggled,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := play(os.Args[2], os.Getenv("TROUBLE") != "0", r)
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	r.line("exit %d", code)
	os.Exit(code)
}
