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
	maxDrainDelay = 2500 * time.Millisecond
	maxApplyDelay = 2500 * time.Millisecond
	// unsettled is how long bounds in time do not hold after a fault; the
	// platform's deployments state 3,000 to 4,000 ms.
	faultGracePeriod = 4 * time.Second
	// budgetWindow and budgetRatio bound repeats, beside a fixed slack.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.2
)

// call is what is known of one request of a client.
type clientRequest struct {
	sentAt        time.Time
	nonIdempotent bool
	route         string
	executions    int
	attempts      int
	refused       bool
	// oldest is the version of the route that must be in force when it was sent.
	minVersion uint32
}

// Ledger collects what clients, upstreams and the operator see, and the promises
// that were broken.
type Checker struct {
	mu       sync.Mutex
	now      func() time.Time
	requests map[string]*clientRequest
	// gone holds when upstreams must get nothing any more.
	drainedAt map[string]time.Time
	// acked holds the newest acknowledged version of each route and when it was.
	ackedVersions map[string]ackedVersion
	// hosts holds the service of each version of a route.
	routeServices map[string]map[uint32]string
	lastFault     time.Time
	// repeats and firsts hold the times of arrivals at each service.
	retries, firstAttempts map[string][]time.Time
	retrySlack             int
	violations             []string
	statusCounts           map[string]int
}

type ackedVersion struct {
	version uint32
	at      time.Time
}

// NewLedger returns an empty ledger. slack is the number of repeats that is
// always allowed in a window.
func NewChecker(now func() time.Time, retrySlack int) *Checker {
	return &Checker{now: now, requests: map[string]*clientRequest{}, drainedAt: map[string]time.Time{}, ackedVersions: map[string]ackedVersion{},
		routeServices: map[string]map[uint32]string{}, retries: map[string][]time.Time{}, firstAttempts: map[string][]time.Time{},
		retrySlack: retrySlack, statusCounts: map[string]int{}}
}

func (c *Checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, c.now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// violateNow notes a broken promise that the ledger does not judge itself.
func (c *Checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Counts returns how often each end of a call was seen.
func (c *Checker) StatusCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for status, count := range c.statusCounts {
		counts[status] = count
	}
	return counts
}

// Fault notes a fault: bounds in time hold again after a while.
func (c *Checker) FaultInjected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFault = c.now()
}

func (c *Checker) timeBoundsApply() bool { return c.now().Sub(c.lastFault) > faultGracePeriod }

// Sent notes a call of a client.
func (c *Checker) RequestSent(id, route string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &clientRequest{sentAt: c.now(), nonIdempotent: nonIdempotent, route: route}
	if acked, ok := c.ackedVersions[route]; ok && req.sentAt.Sub(acked.at) > maxApplyDelay && c.timeBoundsApply() {
		req.minVersion = acked.version
	}
	c.requests[id] = req
}

// Arrived implements standin.Ledger.
func (c *Checker) Arrived(upstream, service, id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		c.addViolationLocked("UNASKED: upstream %s got %q, which nobody sent", upstream, id)
		return
	}
	now := c.now()
	if drainedAt, ok := c.drainedAt[upstream]; ok && now.Sub(drainedAt) > maxDrainDelay && req.sentAt.After(drainedAt.Add(maxDrainDelay)) && c.timeBoundsApply() {
		c.addViolationLocked("DRAIN: %s reached %s %v after its leave was acknowledged", id, upstream, now.Sub(drainedAt))
	}
	req.attempts++
	if req.attempts == 1 {
		c.firstAttempts[service] = append(c.firstAttempts[service], now)
		return
	}
	c.retries[service] = append(c.retries[service], now)
	c.checkRetryBudget(service, now)
}

// checkBudget compares the repeats in the window that ends now with the requests
// in it or in the one before.
func (c *Checker) checkRetryBudget(service string, now time.Time) {
	countBetween := func(times []time.Time, from, to time.Time) int {
		n := 0
		for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
			if !times[i].After(to) {
				n++
			}
		}
		return n
	}
	windowStart := now.Add(-retryBudgetWindow)
	retries := countBetween(c.retries[service], windowStart, now)
	requests := max(countBetween(c.firstAttempts[service], windowStart, now), countBetween(c.firstAttempts[service], windowStart.Add(-retryBudgetWindow), windowStart))
	if float64(retries) > retryBudgetRatio*float64(requests)+float64(c.retrySlack) {
		c.addViolationLocked("BUDGET: %d repeats at %s for %d requests", retries, service, requests)
	}
}

// Ran implements standin.Ledger.
func (c *Checker) Ran(upstream, service, id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		return
	}
	req.executions++
	if req.nonIdempotent && req.executions > 1 {
		c.addViolationLocked("TWICE: %s ran %d times, last at %s", id, req.executions, upstream)
	}
	if req.refused && req.nonIdempotent {
		c.addViolationLocked("REFUSED: %s runs at %s after its refusal", id, upstream)
	}
	if !c.routeAllows(req, service) {
		c.addViolationLocked("ROUTE: %s on %s ran at %s, version %d or newer was due", id, req.route, service, req.minVersion)
	}
}

// allows reports whether a version of the route that may be in force sends the
// call to the service.
func (c *Checker) routeAllows(req *clientRequest, service string) bool {
	for version, versionService := range c.routeServices[req.route] {
		if versionService == service && version >= req.minVersion {
			return true
		}
	}
	return false
}

// Ended notes what the client saw. Status 0 is a connection that ended without a
// complete answer.
func (c *Checker) RequestEnded(id string, status int, fromUpstream, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	c.statusCounts[fmt.Sprint(status)]++
	switch {
	case status/100 == 2 && !(fromUpstream && complete):
		c.addViolationLocked("MIXED: %s got a success that is not its whole answer", id)
	case status == 429 || status == 503 || status == 408 || status == 421:
		req.refused = true
		if req.nonIdempotent && req.executions > 0 {
			c.addViolationLocked("REFUSED: %s was refused and had run", id)
		}
	case status/100 == 4 || status/100 == 3:
		c.addViolationLocked("DENIED: %s on %s got %d", id, req.route, status)
	}
}

// Cut notes an answer that ended early during a planned stop.
func (c *Checker) ConnectionCutByStop(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil && req.attempts > 0 && c.timeBoundsApply() {
		c.addViolationLocked("LOST: %s was cut while %s stopped", id, process)
	}
}

// Proposed notes a version of a route before it is sent.
func (c *Checker) VersionProposed(route string, version uint32, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routeServices[route] == nil {
		c.routeServices[route] = map[uint32]string{}
	}
	c.routeServices[route][version] = service
}

// Acked notes an acknowledged version.
func (c *Checker) VersionAcked(route string, version uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.ackedVersions[route].version {
		c.ackedVersions[route] = ackedVersion{version, c.now()}
	}
}

// Left notes that the leave of an upstream was acknowledged.
func (c *Checker) DrainAcked(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drainedAt[upstream]; !ok {
		c.drainedAt[upstream] = c.now()
	}
}

// ReadBack compares versions that were read at a settled time with what was
// acknowledged.
func (c *Checker) CheckVersions(process string, versions map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route, acked := range c.ackedVersions {
		if versions[route] < acked.version {
			c.addViolationLocked("LOST: %s has version %d of %s, %d was acknowledged", process, versions[route], route, acked.version)
		}
	}
}
