package simulation

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anvilcrank/anvilcrank/pkg/state"
)

// schedulesEnv is the environment variable that sets the number of schedules for
// a long run.
const schedulesEnv = "ANVILCRANK_SCHEDULES"

const (
	// defaultSchedules is the number of schedules that keeps the test under a
	// minute in CI.
	defaultSchedules = 10_000
	// shortSchedules is the number of schedules with -short. It is for runs with
	// the race detector, which makes the test ten times slower.
	shortSchedules = 500
)

// runSchedules runs the schedules with seeds 1 to count on all processors. It
// returns the lowest seed whose schedule had a violation, with its first
// violation, and the sums of the counters. It stops early after a violation.
func runSchedules(count int, disabledRules state.DisabledRules) (seed uint64, violation string, total sim) {
	// The live heap is small, so with the default setting the garbage collector
	// would run very often.
	defer debug.SetGCPercent(debug.SetGCPercent(1000))
	var next atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				scheduleSeed := next.Add(1)
				mu.Lock()
				stop := scheduleSeed > uint64(count) || violation != "" && scheduleSeed > seed
				mu.Unlock()
				if stop {
					return
				}
				s := newSim(scheduleSeed, disabledRules)
				s.run()
				mu.Lock()
				total.steps += s.steps
				total.permitsGranted += s.permitsGranted
				total.shiftedDispatches += s.shiftedDispatches
				total.hedges += s.hedges
				total.gracefulStops += s.gracefulStops
				if len(s.violations) > 0 && (violation == "" || scheduleSeed < seed) {
					seed, violation = scheduleSeed, s.violations[0]
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return seed, violation, total
}

// Guards against a combination of lost, delayed, duplicated and reordered
// messages, partitions, crashes and drains after which a limit is exceeded or a
// request is lost.
func TestSchedules(t *testing.T) {
	count := defaultSchedules
	if testing.Short() {
		count = shortSchedules
	}
	if text := os.Getenv(schedulesEnv); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("%s: %v", schedulesEnv, err)
		}
		count = n
	}
	seed, violation, total := runSchedules(count, state.DisabledRules{})
	if violation != "" {
		t.Fatalf("seed %d: %s", seed, violation)
	}
	t.Logf("%d schedules, %d steps, %d permits for other instances, %d shifted dispatches, %d hedges, %d graceful stops",
		count, total.steps, total.permitsGranted, total.shiftedDispatches, total.hedges, total.gracefulStops)
	if total.permitsGranted == 0 || total.shiftedDispatches == 0 || total.hedges == 0 || total.gracefulStops == 0 {
		t.Fatal("the schedules must cover permits, shifts, hedges and graceful stops")
	}
}
