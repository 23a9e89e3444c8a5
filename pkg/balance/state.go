package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
)

const (
	// defaultObjective stands for the objective of routes that state none.
	defaultObjective = 400 * time.Millisecond
	// warmPart is the part of a route's objective that work on a known object is
	// taken to need until some was observed. Work on an unknown object is taken to
	// need all of it.
	cachedTimeFraction = 0.3
)

// Self is what the sub-reducer knows of its instance.
type Identity struct {
	ID      model.InstanceID
	Zone    model.Zone
	Regions map[model.Zone]model.Region
}

// State is the sub-reducer.
type State struct {
	self     Identity
	targets  map[model.UpstreamID]*target
	services map[model.ServiceName]*service
	// delays holds the shortest round trip seen to each zone.
	roundTrips  map[model.Zone]model.Duration
	regionShift *regionShiftLimiter
	idleLimit   idleLimit
	// Entries is the number of entry instances that share bounds.
	EntryInstances int
}

// service holds the upstreams of a service in the order of their identifiers.
type service struct {
	spec    *model.ServiceSpec
	targets []*target
	// parts is the number of slots in each region over the mean of the regions.
	relativeSlots map[model.Region]float64
	// warm and cold are the moving averages of the time of a request at upstreams
	// that know its object and at others, mean that of all requests.
	cachedTime, uncachedTime, meanTime float64
	// observed is set once any of them was learned from a response.
	measured    bool
	regionLoads map[model.Region]*regionLoad
	// kept is the share of objects that the own region handles, keptInZone that of
	// the own zone for large responses.
	homeRegionShare, homeZoneShare homeShare
}

// expect takes the objective of a route for the time of work, as long as there
// was no response to learn it from.
func (s *service) initWorkTimes(objective model.Duration) {
	if s.measured {
		return
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	s.cachedTime, s.uncachedTime, s.meanTime = cachedTimeFraction*float64(objective), float64(objective), float64(objective)
}

// boundsCold reports whether the service bounds the requests at cold upstreams.
func (s *service) limitsColdRate() bool { return s.spec != nil && s.spec.ColdRequestRate > 0 }

// typical returns the usual time of a request.
func (s *service) workTime(cached bool) float64 {
	if cached {
		return s.cachedTime
	}
	return max(s.uncachedTime, s.cachedTime)
}

// learn takes the time of a request. One slow request says little, so it counts
// as at most three usual ones.
func (s *service) observeWorkTime(cached bool, work float64) {
	average := &s.uncachedTime
	if cached {
		average = &s.cachedTime
	}
	*average += workTimeWeight * (min(work, 3**average) - *average)
	s.meanTime += workTimeWeight * (min(work, 3*s.meanTime) - s.meanTime)
	s.measured = true
}

// New returns the sub-reducer.
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

// Sync takes over the registrations and what the catalog says of their services
// and zones.
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
			// Sends to a former start end at the new one's record, which then
			// counts no less than zero.
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
			// Upstreams without requests may have become cold and not said so yet.
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
	s.regionShift.setPrior(slots)
}

func (s *State) service(name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{regionLoads: map[model.Region]*regionLoad{}}
		svc.initWorkTimes(0)
		s.services[name] = svc
	}
	return svc
}

// Sent counts a request that goes to the chosen upstream.
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

// Result is the end of a send.
type Result uint8

const (
	// Answered sends have a response.
	Answered Result = iota
	// Refused sends were not executed.
	Refused
	// Misdirected sends reached another upstream.
	Misdirected
	// Failed sends have no response and show a fault of the upstream.
	Failed
	// TimedOut sends had no response up to their deadline.
	TimedOut
	// Abandoned sends were ended by this side.
	Abandoned
)

// End is the end of a send.
type End struct {
	Result Result
	// Warm and Wait repeat what Choice said.
	Cached    bool
	QueueTime model.Duration
	// Took is the time of the send, Connect that of opening a connection for it.
	ResponseTime, ConnectTime model.Duration
	Load                      *model.LoadReport
	// Rested is how long the connection was unused before, 0 for a new one.
	IdleTime model.Duration
	// ColdFor is how much longer the upstream is cold, 0 if it did not say.
	ColdRemaining model.Duration
}

// Ended takes the end of a send.
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
		// The wait for a slot says nothing of the work. It is an estimate, so the
		// work counts as at least half of the time.
		responseTime := end.ResponseTime - s.roundTrip(t)
		work := float64(max(0, responseTime/2, responseTime-end.QueueTime))
		t.observeSlowness(at, work/max(1, svc.workTime(end.Cached)))
		svc.observeWorkTime(end.Cached, work)
	case Refused:
		t.observeRefusal(at, 1)
	case Misdirected, Failed:
		t.recordFailure(at)
	case TimedOut:
		// An upstream that answers others in the meantime is busy, not lost.
		if t.respondedAt < at.Add(-end.ResponseTime) {
			t.recordFailure(at)
		}
	}
}
