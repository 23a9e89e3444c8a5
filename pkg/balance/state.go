package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
)

const (
	// defaultObjective is the assumed objective of routes that have none.
	defaultObjective = 400 * time.Millisecond
	// cachedTimeFraction is the fraction of a route's objective that work on a
	// cached object is assumed to need until it has been measured. Work on an
	// uncached object is assumed to need the whole objective.
	cachedTimeFraction = 0.3
)

// Identity describes the instance that runs the sub-reducer.
type Identity struct {
	ID      model.InstanceID
	Zone    model.Zone
	Regions map[model.Zone]model.Region
}

// State is the sub-reducer that selects upstreams for routed requests.
type State struct {
	self     Identity
	targets  map[model.UpstreamID]*target
	services map[model.ServiceName]*service
	// roundTrips holds the shortest round-trip time measured to each zone.
	roundTrips  map[model.Zone]model.Duration
	regionShift *regionShiftLimiter
	idleLimit   idleLimit
	// EntryInstances is the number of entry instances that share the bounds of an
	// upstream.
	EntryInstances int
}

// service holds the upstreams of a service in the order of their identifiers.
type service struct {
	spec    *model.ServiceSpec
	targets []*target
	// relativeSlots is the number of slots in each region divided by the mean over
	// all regions.
	relativeSlots map[model.Region]float64
	// cachedTime and uncachedTime are the moving averages of the time of work on
	// cached and uncached objects, meanTime that on all requests, in nanoseconds.
	cachedTime, uncachedTime, meanTime float64
	// measured is true once one of these averages includes a response.
	measured    bool
	regionLoads map[model.Region]*regionLoad
	// homeRegionShare is the share of objects that the own region handles,
	// homeZoneShare the share of objects with large responses that the own zone
	// handles.
	homeRegionShare, homeZoneShare homeShare
}

// initWorkTimes derives the times of work from a route's objective until a
// response has been measured.
func (s *service) initWorkTimes(objective model.Duration) {
	if s.measured {
		return
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	s.cachedTime, s.uncachedTime, s.meanTime = cachedTimeFraction*float64(objective), float64(objective), float64(objective)
}

// limitsColdRate reports whether the service bounds the request rate at cold
// upstreams.
func (s *service) limitsColdRate() bool { return s.spec != nil && s.spec.ColdRequestRate > 0 }

// workTime returns the average time of work on a cached or uncached object.
func (s *service) workTime(cached bool) float64 {
	if cached {
		return s.cachedTime
	}
	return max(s.uncachedTime, s.cachedTime)
}

// observeWorkTime updates the averages. A single slow request is weak evidence,
// so a measurement counts as at most three times the average.
func (s *service) observeWorkTime(cached bool, work float64) {
	average := &s.uncachedTime
	if cached {
		average = &s.cachedTime
	}
	*average += workTimeWeight * (min(work, 3**average) - *average)
	s.meanTime += workTimeWeight * (min(work, 3*s.meanTime) - s.meanTime)
	s.measured = true
}

// New returns the sub-reducer without upstreams.
func New(self Identity) *State {
	return &State{
		self:           self,
		targets:        map[model.UpstreamID]*target{},
		services:       map[model.ServiceName]*service{},
		roundTrips:     map[model.Zone]model.Duration{},
		regionShift:    newRegionShiftLimiter(self.Regions[self.Zone], self.Regions),
		EntryInstances: 1,
	}
}

// Sync adopts the registrations and the catalog's services and evacuations.
// With checkLeases, upstreams whose lease has expired are marked.
func (s *State) Sync(at model.Time, r *registry.State, c *catalog.State, checkLeases bool) {
	for _, svc := range s.services {
		svc.targets = svc.targets[:0]
	}
	for _, reg := range r.Registrations(at) {
		e := r.Get(reg.ID)
		t := s.targets[reg.ID]
		if !r.Usable(e) {
			if t != nil && t.inFlight == 0 {
				delete(s.targets, reg.ID)
			}
			continue
		}
		if t == nil || t.registration.StartTimeMs != reg.StartTimeMs {
			// Sends to the previous process of the upstream end at the new target, whose
			// count of requests in flight does not go below zero.
			previous := t
			t = &target{idHash: xxhash.Sum64String(string(reg.ID)), recentObjects: recentObjects{}}
			if previous != nil {
				t.pacer = previous.pacer
			}
			s.targets[reg.ID] = t
		}
		t.registration = reg
		t.region = s.self.Regions[reg.Zone]
		wasEvacuated := t.evacuated
		t.evacuated = c.IsEvacuated(reg.Zone)
		if spec := c.Table().Service(reg.Service); wasEvacuated && !t.evacuated && spec != nil {
			// Upstreams of an evacuated zone receive no requests and may have become
			// cold before their next heartbeat reports it.
			t.coldUntil = max(t.coldUntil, at.Add(spec.ColdDuration))
		}
		t.expired = checkLeases && r.Expired(at, e)
		t.coldUntil = max(t.coldUntil, e.ColdUntil)
		svc := s.service(reg.Service)
		t.service, t.regionLoad = svc, svc.regionLoad(t.region)
		svc.targets = append(svc.targets, t)
	}
	slots := map[model.Region]int{}
	for name, svc := range s.services {
		svc.spec = c.Table().Service(name)
		svc.relativeSlots = map[model.Region]float64{}
		total := 0
		for _, t := range svc.targets {
			slots[t.region] += t.registration.Slots
			svc.relativeSlots[t.region] += float64(t.registration.Slots)
			total += t.registration.Slots
		}
		for region := range svc.relativeSlots {
			svc.relativeSlots[region] *= float64(s.regionShift.numRegions()) / float64(max(1, total))
		}
	}
	s.regionShift.setInitialShares(slots)
}

// service returns the service with the given name and creates it if needed.
func (s *State) service(name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{regionLoads: map[model.Region]*regionLoad{}}
		svc.initWorkTimes(0)
		s.services[name] = svc
	}
	return svc
}

// Sent counts a request that is sent to the chosen upstream.
func (s *State) Sent(at model.Time, c *Choice) {
	t := s.targets[c.ID]
	if t == nil {
		return
	}
	if c.objectHash != 0 {
		t.recentObjects.add(at, c.objectHash)
	}
	s.regionShift.record(t.region)
	t.requestStarted(at)
	if svc := s.service(t.registration.Service); svc.limitsColdRate() && t.needsPacing(at) {
		t.pacer.advance(s.coldInterval(svc))
	}
}

// Result classifies the end of a send.
type Result uint8

const (
	// Answered means that the upstream returned a response.
	Answered Result = iota
	// Refused means that the upstream did not execute the request.
	Refused
	// Misdirected means that another upstream received the request.
	Misdirected
	// Failed means that there was no response because of a fault of the upstream.
	Failed
	// TimedOut means that there was no response before the deadline.
	TimedOut
	// Abandoned means that this instance canceled the send.
	Abandoned
)

// End describes the end of a send.
type End struct {
	Result Result
	// Cached and QueueTime are the estimates of the Choice.
	Cached    bool
	QueueTime model.Duration
	// ResponseTime is the duration of the send, ConnectTime the time it took to
	// open a connection, 0 if none was opened.
	ResponseTime, ConnectTime model.Duration
	Load                      *model.LoadReport
	// IdleTime is how long the reused connection was idle, 0 for a new connection.
	IdleTime model.Duration
	// ColdRemaining is the remaining time of the upstream's cold start, 0 if the
	// response does not state it.
	ColdRemaining model.Duration
}

// Ended updates the estimates with the end of a send.
func (s *State) Ended(at model.Time, id model.UpstreamID, end *End) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.requestEnded(at, end.Result)
	t.observeReport(at, end.Load)
	s.observeIdleReset(at, t, end)
	if end.ColdRemaining > 0 {
		t.coldUntil = max(t.coldUntil, at.Add(end.ColdRemaining))
	}
	if end.ConnectTime > 0 {
		if d, ok := s.roundTrips[t.registration.Zone]; !ok || end.ConnectTime < d {
			s.roundTrips[t.registration.Zone] = end.ConnectTime
		}
	}
	switch end.Result {
	case Answered:
		t.failures = 0
		t.suspectUntil = 0
		t.observeRefusal(at, 0)
		svc := s.service(t.registration.Service)
		// The queue time is not part of the work. It is only an estimate, so the work
		// counts as at least half of the time.
		responseTime := end.ResponseTime - s.roundTrip(t)
		work := float64(max(0, responseTime/2, responseTime-end.QueueTime))
		t.observeSlowdown(at, work/max(1, svc.workTime(end.Cached)))
		svc.observeWorkTime(end.Cached, work)
	case Refused:
		t.observeRefusal(at, 1)
	case Misdirected, Failed:
		t.recordFailure(at)
	case TimedOut:
		// An upstream that responded to other requests in the meantime is busy, not
		// lost.
		if t.respondedAt < at.Add(-end.ResponseTime) {
			t.recordFailure(at)
		}
	}
}
