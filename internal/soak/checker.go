package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// The effect of a drain must be visible within maxDrainDelay of its
	// acknowledgement, that of a change within maxApplyDelay. Deployments of the
	// platform specify 2,000 to 3,000 ms.
	maxDrainDelay = 2500 * time.Millisecond
	maxApplyDelay = 2500 * time.Millisecond
	// faultGracePeriod is how long after a fault maxDrainDelay and maxApplyDelay
	// are not checked; deployments of the platform specify 3,000 to 4,000 ms.
	faultGracePeriod = 4 * time.Second
	// In each retryBudgetWindow, a service may receive retryBudgetRatio retries per
	// request, and Checker.retrySlack retries in addition.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.2
	// In a pause that an upstream wants, each entry process may send it maxInPause
	// requests, not counting those in the first pauseMargin after its first answer:
	// one before it has been told itself, and two afterwards. A restart is excused
	// with as many again.
	maxInPause  = 6
	pauseMargin = 500 * time.Millisecond
	// In each limitWindow, an upstream with a request limit may receive limitFactor
	// times what the limit permits, and limitSlack requests in addition.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// The upstreams of a zone whose evacuation was acknowledged may receive requests for
	// maxEvacuationDelay, and maxEvacuatedArrivals after it, which entry processes may
	// have chosen before they were paused.
	maxEvacuationDelay   = 5 * time.Second
	maxEvacuatedArrivals = 10
)

// statement is what an upstream states about itself and what it has received since.
type statement struct {
	leaving       bool
	pausedUntil   time.Time
	allowedPaused int
	limit         float64
	limitedUntil  time.Time
	// toldAt is when the upstream received the first request after the statement.
	toldAt   time.Time
	inPause  int
	arrivals []time.Time
}

// clientRequest is what the checker has observed of one request of a client.
type clientRequest struct {
	sentAt        time.Time
	nonIdempotent bool
	route         string
	executions    int
	attempts      int
	refused       bool
	// minVersion is the lowest route version that may apply to the request.
	minVersion uint32
}

// Checker records what clients, upstreams and the operator observe, checks it
// against the system's guarantees, and collects the violations.
type Checker struct {
	mu       sync.Mutex
	now      func() time.Time
	requests map[string]*clientRequest
	// drainedAt holds the time when the drain of an upstream was acknowledged.
	drainedAt map[string]time.Time
	// statements holds the latest statement of each upstream.
	statements map[string]*statement
	// zones holds the zone of each upstream, evacuations the evacuated zones.
	zones       map[string]string
	evacuations map[string]*evacuation
	// ackedVersions holds the latest acknowledged version of each route.
	ackedVersions map[string]ackedVersion
	// routeServices holds the service that each version of a route selects.
	routeServices map[string]map[uint32]string
	lastFault     time.Time
	// retries and firstAttempts hold the arrival times of attempts, by service.
	retries, firstAttempts map[string][]time.Time
	retrySlack             int
	violations             []string
	statusCounts           map[string]int
}

// evacuation is an acknowledged evacuation of a zone that was not taken back.
type evacuation struct {
	ackedAt  time.Time
	arrivals int
}

type ackedVersion struct {
	version uint32
	at      time.Time
}

// NewChecker returns a checker without observations. retrySlack retries are
// allowed in each window in addition to retryBudgetRatio per request.
func NewChecker(now func() time.Time, retrySlack int) *Checker {
	return &Checker{now: now, requests: map[string]*clientRequest{}, drainedAt: map[string]time.Time{}, zones: map[string]string{}, evacuations: map[string]*evacuation{}, statements: map[string]*statement{}, ackedVersions: map[string]ackedVersion{},
		routeServices: map[string]map[uint32]string{}, retries: map[string][]time.Time{}, firstAttempts: map[string][]time.Time{},
		retrySlack: retrySlack, statusCounts: map[string]int{}}
}

func (c *Checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, c.now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// addViolation records a violation that the caller has detected.
func (c *Checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// Violations returns the violations found so far, each with its time.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// StatusCounts returns the number of calls of RequestEnded with each status.
func (c *Checker) StatusCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for status, count := range c.statusCounts {
		counts[status] = count
	}
	return counts
}

// FaultInjected records when a fault was injected; see faultGracePeriod.
func (c *Checker) FaultInjected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFault = c.now()
}

// timeBoundsApply reports whether faultGracePeriod has passed since lastFault.
func (c *Checker) timeBoundsApply() bool { return c.now().Sub(c.lastFault) > faultGracePeriod }

// RequestSent records that a client sends a request.
func (c *Checker) RequestSent(id, route string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := &clientRequest{sentAt: c.now(), nonIdempotent: nonIdempotent, route: route}
	if acked, ok := c.ackedVersions[route]; ok && req.sentAt.Sub(acked.at) > maxApplyDelay && c.timeBoundsApply() {
		req.minVersion = acked.version
	}
	c.requests[id] = req
}

// RequestReceived implements standin.RequestObserver: an attempt reaches an upstream.
func (c *Checker) RequestReceived(upstream, service, id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		c.addViolationLocked("UNASKED: upstream %s received request %q, which no client sent", upstream, id)
		return
	}
	now := c.now()
	if drainedAt, ok := c.drainedAt[upstream]; ok && now.Sub(drainedAt) > maxDrainDelay && req.sentAt.After(drainedAt.Add(maxDrainDelay)) && c.timeBoundsApply() {
		c.addViolationLocked("DRAIN: request %s reached upstream %s %v after its drain was acknowledged", id, upstream, now.Sub(drainedAt))
	}
	if e := c.evacuations[c.zones[upstream]]; e != nil && req.sentAt.After(e.ackedAt.Add(maxEvacuationDelay)) {
		if e.arrivals++; e.arrivals == maxEvacuatedArrivals+1 {
			c.addViolationLocked("EVAC: %d requests reached upstreams in %s more than %v after its evacuation was acknowledged", e.arrivals, c.zones[upstream], maxEvacuationDelay)
		}
	}
	if s := c.statements[upstream]; s != nil {
		c.checkStatement(upstream, s, req, now)
	}
	req.attempts++
	if req.attempts == 1 {
		c.firstAttempts[service] = append(c.firstAttempts[service], now)
		return
	}
	c.retries[service] = append(c.retries[service], now)
	c.checkRetryBudget(service, now)
}

// checkStatement checks a request that reaches an upstream against what the
// upstream has stated in its answers.
func (c *Checker) checkStatement(upstream string, s *statement, req *clientRequest, now time.Time) {
	if s.toldAt.IsZero() {
		s.toldAt = now
	}
	if s.leaving && req.sentAt.After(s.toldAt.Add(maxDrainDelay)) && c.timeBoundsApply() {
		c.addViolationLocked("DRAIN: a request reached upstream %s %v after it had stated that it leaves", upstream, now.Sub(s.toldAt))
	}
	if now.After(s.toldAt.Add(pauseMargin)) && now.Before(s.pausedUntil) {
		if s.inPause++; s.inPause == s.allowedPaused+1 {
			c.addViolationLocked("BUDGET: %d requests reached upstream %s in the pause that it had asked for", s.inPause, upstream)
		}
	}
	if s.limit == 0 || now.After(s.limitedUntil) {
		return
	}
	s.arrivals = append(s.arrivals, now)
	inWindow := 0
	for _, at := range s.arrivals {
		if now.Sub(at) < limitWindow {
			inWindow++
		}
	}
	allowed := limitFactor*s.limit*limitWindow.Seconds() + limitSlack
	if now.Sub(s.toldAt) > faultGracePeriod+limitWindow && c.now().Sub(c.lastFault) > faultGracePeriod+limitWindow && float64(inWindow) > allowed {
		c.addViolationLocked("LIMIT: upstream %s with a limit of %v received %d requests in %v", upstream, s.limit, inWindow, limitWindow)
	}
}

// UpstreamStarted records the zone of an upstream.
func (c *Checker) UpstreamStarted(upstream, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[upstream] = zone
}

// EvacuationAcked records that the start of an evacuation was acknowledged.
func (c *Checker) EvacuationAcked(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[zone] = &evacuation{ackedAt: c.now()}
}

// EvacuationEnds records that the operator is about to take an evacuation back.
func (c *Checker) EvacuationEnds(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuations, zone)
}

// LeavingStated records that an upstream states from now on that it leaves.
func (c *Checker) LeavingStated(upstream string) { c.setStatement(upstream, statement{leaving: true}) }

// PauseStated records that an upstream asks for a pause. allowed is the number of
// requests that may reach it during the pause.
func (c *Checker) PauseStated(upstream string, until time.Time, allowed int) {
	c.setStatement(upstream, statement{pausedUntil: until, allowedPaused: allowed})
}

// LimitStated records that an upstream states a request limit.
func (c *Checker) LimitStated(upstream string, perSecond float64, until time.Time) {
	c.setStatement(upstream, statement{limit: perSecond, limitedUntil: until})
}

func (c *Checker) setStatement(upstream string, s statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statements[upstream] = &s
}

// checkRetryBudget compares the retries in the window that ends now with the
// requests in this window or in the previous one, whichever are more.
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
		c.addViolationLocked("BUDGET: %d retries at service %s for %d requests", retries, service, requests)
	}
}

// RequestExecuted implements standin.RequestObserver: an upstream executes a request.
func (c *Checker) RequestExecuted(upstream, service, id, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	if req == nil {
		return
	}
	req.executions++
	if req.nonIdempotent && req.executions > 1 {
		c.addViolationLocked("TWICE: request %s was executed %d times, the last time at %s", id, req.executions, upstream)
	}
	if req.refused && req.nonIdempotent {
		c.addViolationLocked("REFUSED: request %s was executed at %s after it was refused", id, upstream)
	}
	if !c.routeAllows(req, service) {
		c.addViolationLocked("ROUTE: request %s on route %s was executed by service %s, which no version from %d on selects", id, req.route, service, req.minVersion)
	}
}

// BodyReceived implements standin.RequestObserver: a body ended properly at an upstream.
func (c *Checker) BodyReceived(upstream, id string, received int, isSent bool) {
	if !isSent {
		c.addViolation("UNASKED: upstream %s got another body of %d bytes with request %s", upstream, received, id)
	}
}

// routeAllows reports whether any version of the request's route, from
// req.minVersion on, selects the service.
func (c *Checker) routeAllows(req *clientRequest, service string) bool {
	for version, versionService := range c.routeServices[req.route] {
		if versionService == service && version >= req.minVersion {
			return true
		}
	}
	return false
}

// RequestEnded records the response to a request. status is 0 if the client did
// not receive all of it. fromUpstream is true if an upstream sent it. complete is
// true if its body is the full body for this request.
func (c *Checker) RequestEnded(id string, status int, fromUpstream, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[id]
	c.statusCounts[fmt.Sprint(status)]++
	switch {
	case status/100 == 2 && !(fromUpstream && complete):
		c.addViolationLocked("MIXED: request %s got a success status without the complete response of an upstream", id)
	case status == 429 || status == 503 || status == 408 || status == 421:
		req.refused = true
		if req.nonIdempotent && req.executions > 0 {
			c.addViolationLocked("REFUSED: request %s was refused after it had been executed", id)
		}
	case status/100 == 4 || status/100 == 3:
		c.addViolationLocked("DENIED: request %s on route %s got status %d", id, req.route, status)
	}
}

// ConnectionCutByStop records that a graceful stop broke a request's connection.
func (c *Checker) ConnectionCutByStop(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req := c.requests[id]; req != nil && req.attempts > 0 && c.timeBoundsApply() {
		c.addViolationLocked("LOST: the connection of request %s was cut while %s stopped", id, process)
	}
}

// VersionProposed records a version of a route before the operator sends it.
func (c *Checker) VersionProposed(route string, version uint32, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routeServices[route] == nil {
		c.routeServices[route] = map[uint32]string{}
	}
	c.routeServices[route][version] = service
}

// VersionAcked records that a version of a route was acknowledged.
func (c *Checker) VersionAcked(route string, version uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.ackedVersions[route].version {
		c.ackedVersions[route] = ackedVersion{version, c.now()}
	}
}

// DrainAcked records that the drain of an upstream was acknowledged.
func (c *Checker) DrainAcked(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.drainedAt[upstream]; !ok {
		c.drainedAt[upstream] = c.now()
	}
}

// CheckVersions compares the acknowledged versions with those that a control
// process returns after all faults have ended.
func (c *Checker) CheckVersions(process string, versions map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route, acked := range c.ackedVersions {
		if versions[route] < acked.version {
			c.addViolationLocked("LOST: %s has version %d of route %s, but version %d was acknowledged", process, versions[route], route, acked.version)
		}
	}
}
