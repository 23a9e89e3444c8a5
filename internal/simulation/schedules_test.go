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

// schedulesVariable sets the number of schedules of a long run.
const schedulesEnv = "ANVILCRANK_SCHEDULES"

const (
	// defaultSchedules keeps the run under a minute in CI.
	defaultSchedules = 10_000
	// shortSchedules is for the race detector, which is ten times as slow.
	shortSchedules = 500
)

// runSchedules runs numbered schedules on all processors until one violates a
// check. It returns the first of its violations.
func runSchedules(count int, faults state.DisabledRules) (seed uint64, violation string, total sim) {
	// The live heap is small, so the collector would run all the time.
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
				s := newSim(scheduleSeed, faults)
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

// Guards against any combination of loss, delay, duplicates, reordering,
// partitions, crashes and drains that breaks a bound or loses a request.
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
		t.Fatal("the schedules leave out permits, shifts, hedges or stops")
	}
}
