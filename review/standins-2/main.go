// Command review2 plays the scripted cases of the second review: it starts the daemon
// as separate processes, with an operator, servers and clients of its own.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The daemons end with the thread that started them, which must be the main thread.
func init() { runtime.LockOSThread() }

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(c *caseSettings) (broken bool, err error){}

// caseSettings is what a case gets. Without trouble it does the same without the
// disruption.
type caseSettings struct {
	daemon  string
	trouble bool
	record  *record
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := play(&caseSettings{daemon: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: rec})
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	rec.logf("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
