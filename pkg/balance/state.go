package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
)

const (
	// defaultObjective is the assumed latency objective of routes without one.
	defaultObjective = 400 * time.Millisecond
	// cachedTimeFraction is the fraction of a route's objective that is assumed as
	// the work time on a cached object until a response has been measured. The
	// work time on an uncached object is assumed to be the whole objective.
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
	roundTrips map[model.Zone]model.Duration
	// nameIndexes numbers regions and zones.
	nameIndexes map[string]int
	regionShift *regionShiftLimiter
	idleLimit   idleLimit
	// EntryInstances is the number of entry instances that share the connection
	// limit and the cold request rate of each upstream.
	EntryInstances int
}

// service is the state of one service. Its targets are in the order of their
// identifiers.
type service struct {
	spec    *model.ServiceSpec
	targets []*target
	// relativeSlots holds, for each region, the number of slots of the service's
	// upstreams there, divided by the mean of this number over all regions.
	relativeSlots map[model.Region]float64
	// cachedTime and uncachedTime are the moving averages of the work time on
	// cached and on uncached objects. meanTime is that of the work time of all
	// requests. All three are in nanoseconds.
	cachedTime, uncachedTime, meanTime float64
	// measured is true once the averages include the work time of a response.
	measured    bool
	regionLoads map[model.Region]*regionLoad
	// homeRegionShare is the share of objects that is assigned to this instance's
	// own region. homeZoneShare is the share of objects with large responses that
	// is assigned to its own zone.
	homeRegionShare, homeZoneShare homeShare
}

// initWorkTimes sets the work times to fractions of the route's objective. It
// has no effect once a response has been measured.
func (s *service) initWorkTimes(objective model.Duration) {
	if s.measured {
		return
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	s.cachedTime, s.uncachedTime, s.meanTime = cachedTimeFraction*float64(objective), float64(objective), float64(objective)
}

// limitsColdRate reports whether the request rate at cold upstreams of the
// service is limited.
func (s *service) limitsColdRate() bool { return s.spec != nil && s.spec.ColdRequestRate > 0 }

// workTime returns the average work time on a cached or an uncached object, in
// nanoseconds.
func (s *service) workTime(cached bool) float64 {
	if cached {
		return s.cachedTime
	}
	return max(s.uncachedTime, s.cachedTime)
}

// observeWorkTime updates the averages with a measured work time. A single slow
// request is weak evidence, so a measurement counts as at most three times the
// average.
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
		nameIndexes:    map[string]int{},
		regionShift:    newRegionShiftLimiter(self.Regions[self.Zone], self.Regions),
		EntryInstances: 1,
	}
}

// Sync updates the upstreams and services from the registrations, and from the
// services and evacuations of the catalog. If checkLeases is true, upstreams
// whose lease has expired are treated as suspected.
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
			// The ends of sends to the previous process of the upstream are still
			// reported to Ended. Each then reduces inFlight of the new target, which
			// does not fall below zero.
			previous := t
			t = &target{idHash: xxhash.Sum64String(string(reg.ID)), recentObjects: recentObjects{}}
			if previous != nil {
				t.pacer = previous.pacer
			}
			s.targets[reg.ID] = t
		}
		t.registration = reg
		t.region = s.self.Regions[reg.Zone]
		t.regionIndex, t.zoneIndex = s.nameIndex("r"+string(t.region)), s.nameIndex("z"+string(reg.Zone))
		wasEvacuated := t.evacuated
		t.evacuated = c.IsEvacuated(reg.Zone)
		if spec := c.Table().Service(reg.Service); wasEvacuated && !t.evacuated && spec != nil {
			// The upstreams of an evacuated zone received no requests. They may have
			// become cold, which only their next heartbeat reports.
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

// nameIndex numbers the names of regions and zones in the order in which they are
// first seen.
func (s *State) nameIndex(name string) int {
	i, ok := s.nameIndexes[name]
	if !ok {
		i = len(s.nameIndexes)
		s.nameIndexes[name] = i
	}
	return i
}

// sortedServices returns the services in the order of their names.
func (s *State) sortedServices() []*service {
	list := make([]*service, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		list = append(list, s.services[name])
	}
	return list
}

// service returns the state of the service with the given name and creates it
// if needed.
func (s *State) service(name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{regionLoads: map[model.Region]*regionLoad{}}
		svc.initWorkTimes(0)
		s.services[name] = svc
	}
	return svc
}

// Sent records that a request is sent to the chosen upstream.
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
	s.recordPaced(at, s.service(t.registration.Service), t)
}

// Result is the way in which a send to an upstream ended.
type Result uint8

const (
	// Answered means that the upstream returned a response.
	Answered Result = iota
	// Refused means that the upstream rejected the request without executing it.
	Refused
	// Misdirected means that the request reached a different upstream than the
	// selected one.
	Misdirected
	// Failed means that no complete response arrived because of a fault of the
	// upstream or of the connection to it.
	Failed
	// TimedOut means that no response arrived before the deadline.
	TimedOut
	// Abandoned means that this instance canceled the send before the deadline.
	Abandoned
)

// End describes how a send to an upstream ended and what was measured.
type End struct {
	Result Result
	// Cached and QueueTime are the estimates in the Choice with which the request
	// was sent.
	Cached    bool
	QueueTime model.Duration
	// ResponseTime is the duration of the send. ConnectTime is the time to open
	// the connection, 0 if the send reused one.
	ResponseTime, ConnectTime model.Duration
	Load                      *model.LoadReport
	// IdleTime is how long the reused connection had been idle, 0 for a new
	// connection.
	IdleTime model.Duration
	// ColdRemaining is how long the upstream stays cold according to the response,
	// 0 if the response does not state it.
	ColdRemaining model.Duration
	// Responded is true if the header of a response arrived. Statement is what the
	// upstream stated in it.
	Responded bool
	Statement model.UpstreamStatement
	// StartMs identifies the process of the upstream to which the request was sent.
	StartMs int64
}

// Ended updates the estimates for an upstream after a request to it has ended,
// whatever the result.
func (s *State) Ended(at model.Time, id model.UpstreamID, end *End) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.requestEnded(at, end.Result)
	t.observeReport(at, end.Load)
	s.observeIdleReset(at, t, end)
	if end.Responded && end.StartMs == t.registration.StartTimeMs {
		t.limit.observe(at, at.Add(-end.ResponseTime), end.Statement.RequestLimit)
	}
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
		t.pause.answered(at, t.slots())
		svc := s.service(t.registration.Service)
		// The work time is the response time without the round-trip time and the queue
		// time. The queue time is only an estimate and may be too high, so the work
		// time is taken to be at least half of the response time without the round
		// trip.
		responseTime := end.ResponseTime - s.roundTrip(t)
		work := float64(max(0, responseTime/2, responseTime-end.QueueTime))
		t.observeSlowdown(at, work/max(1, svc.workTime(end.Cached)))
		svc.observeWorkTime(end.Cached, work)
	case Refused:
		t.observeRefusal(at, 1)
	case Misdirected, Failed:
		t.recordFailure(at)
	case TimedOut:
		// An upstream that responded to other requests during the send is busy, not
		// lost.
		if t.noResponseSince < at.Add(-end.ResponseTime) {
			t.recordFailure(at)
		}
	}
}
