package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainBound is how long after an acknowledged drain a request may still reach
	// the upstream, and applyBound how long after an acknowledged change an older
	// version may be in force; the platform's deployments state 2,000 to 3,000 ms.
	drainBound = 2500 * time.Millisecond
	applyBound = 2500 * time.Millisecond
	// unsettled is how long bounds in time do not hold after a fault; the
	// platform's deployments state 3,000 to 4,000 ms.
	unsettled = 4 * time.Second
	// budgetWindow and budgetRatio bound repeats, beside a fixed slack.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
)

// call is what is known of one request of a client.
type call struct {
	sent     time.Time
	unsafe   bool
	route    string
	runs     int
	arrivals int
	refused  bool
	// oldest is the version of the route that must be in force when it was sent.
	oldest uint32
}

// Ledger collects what clients, upstreams and the operator see, and the promises
// that were broken.
type Ledger struct {
	mu    sync.Mutex
	now   func() time.Time
	calls map[string]*call
	// gone holds when upstreams must get nothing any more.
	gone map[string]time.Time
	// acked holds the newest acknowledged version of each route and when it was.
	acked map[string]ackedVersion
	// hosts holds the service of each version of a route.
	hosts   map[string]map[uint32]string
	faulted time.Time
	// repeats and firsts hold the times of arrivals at each service.
	repeats, firsts map[string][]time.Time
	slack           int
	violations      []string
	counts          map[string]int
}

type ackedVersion struct {
	version uint32
	at      time.Time
}

// NewLedger returns an empty ledger. slack is the number of repeats that is
// always allowed in a window.
func NewLedger(now func() time.Time, slack int) *Ledger {
	return &Ledger{now: now, calls: map[string]*call{}, gone: map[string]time.Time{}, acked: map[string]ackedVersion{},
		hosts: map[string]map[uint32]string{}, repeats: map[string][]time.Time{}, firsts: map[string][]time.Time{},
		slack: slack, counts: map[string]int{}}
}

func (l *Ledger) violate(format string, args ...any) {
	l.violations = append(l.violations, l.now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// violateNow notes a broken promise that the ledger does not judge itself.
func (l *Ledger) violateNow(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, args...)
}

// Violations returns the broken promises.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Counts returns how often each end of a call was seen.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for k, v := range l.counts {
		counts[k] = v
	}
	return counts
}

// Fault notes a fault: bounds in time hold again after a while.
func (l *Ledger) Fault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faulted = l.now()
}

func (l *Ledger) settled() bool { return l.now().Sub(l.faulted) > unsettled }

// Sent notes a call of a client.
func (l *Ledger) Sent(id, route string, unsafe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &call{sent: l.now(), unsafe: unsafe, route: route}
	if a, ok := l.acked[route]; ok && c.sent.Sub(a.at) > applyBound && l.settled() {
		c.oldest = a.version
	}
	l.calls[id] = c
}

// RequestReceived implements standin.RequestObserver.
func (l *Ledger) RequestReceived(upstream, service, id, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		l.violate("UNASKED: upstream %s got %q, which nobody sent", upstream, id)
		return
	}
	now := l.now()
	if at, ok := l.gone[upstream]; ok && now.Sub(at) > drainBound && c.sent.After(at.Add(drainBound)) && l.settled() {
		l.violate("DRAIN: %s reached %s %v after its leave was acknowledged", id, upstream, now.Sub(at))
	}
	c.arrivals++
	if c.arrivals == 1 {
		l.firsts[service] = append(l.firsts[service], now)
		return
	}
	l.repeats[service] = append(l.repeats[service], now)
	l.checkBudget(service, now)
}

// checkBudget compares the repeats in the window that ends now with the requests
// in it or in the one before.
func (l *Ledger) checkBudget(service string, now time.Time) {
	count := func(list []time.Time, from, to time.Time) int {
		n := 0
		for i := len(list) - 1; i >= 0 && list[i].After(from); i-- {
			if !list[i].After(to) {
				n++
			}
		}
		return n
	}
	start := now.Add(-budgetWindow)
	repeats := count(l.repeats[service], start, now)
	requests := max(count(l.firsts[service], start, now), count(l.firsts[service], start.Add(-budgetWindow), start))
	if float64(repeats) > budgetRatio*float64(requests)+float64(l.slack) {
		l.violate("BUDGET: %d repeats at %s for %d requests", repeats, service, requests)
	}
}

// RequestExecuted implements standin.RequestObserver.
func (l *Ledger) RequestExecuted(upstream, service, id, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		return
	}
	c.runs++
	if c.unsafe && c.runs > 1 {
		l.violate("TWICE: %s ran %d times, last at %s", id, c.runs, upstream)
	}
	if c.refused && c.unsafe {
		l.violate("REFUSED: %s runs at %s after its refusal", id, upstream)
	}
	if !l.allows(c, service) {
		l.violate("ROUTE: %s on %s ran at %s, version %d or newer was due", id, c.route, service, c.oldest)
	}
}

// allows reports whether a version of the route that may be in force sends the
// call to the service.
func (l *Ledger) allows(c *call, service string) bool {
	for version, s := range l.hosts[c.route] {
		if s == service && version >= c.oldest {
			return true
		}
	}
	return false
}

// Ended notes what the client saw. Status 0 is a connection that ended without a
// complete answer.
func (l *Ledger) Ended(id string, status int, upstreamsAnswer, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	l.counts[fmt.Sprint(status)]++
	switch {
	case status/100 == 2 && !(upstreamsAnswer && whole):
		l.violate("MIXED: %s got a success that is not its whole answer", id)
	case status == 429 || status == 503 || status == 408 || status == 421:
		c.refused = true
		if c.unsafe && c.runs > 0 {
			l.violate("REFUSED: %s was refused and had run", id)
		}
	case status/100 == 4 || status/100 == 3:
		l.violate("DENIED: %s on %s got %d", id, c.route, status)
	}
}

// Cut notes an answer that ended early during a planned stop.
func (l *Ledger) Cut(id, process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil && c.arrivals > 0 && l.settled() {
		l.violate("LOST: %s was cut while %s stopped", id, process)
	}
}

// Proposed notes a version of a route before it is sent.
func (l *Ledger) Proposed(route string, version uint32, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts[route] == nil {
		l.hosts[route] = map[uint32]string{}
	}
	l.hosts[route][version] = service
}

// Acked notes an acknowledged version.
func (l *Ledger) Acked(route string, version uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.acked[route].version {
		l.acked[route] = ackedVersion{version, l.now()}
	}
}

// Left notes that the leave of an upstream was acknowledged.
func (l *Ledger) Left(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.gone[upstream]; !ok {
		l.gone[upstream] = l.now()
	}
}

// ReadBack compares versions that were read at a settled time with what was
// acknowledged.
func (l *Ledger) ReadBack(process string, versions map[string]uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route, a := range l.acked {
		if versions[route] < a.version {
			l.violate("LOST: %s has version %d of %s, %d was acknowledged", process, versions[route], route, a.version)
		}
	}
}
