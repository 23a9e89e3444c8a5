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
	warmPart = 0.3
)

// Self is what the sub-reducer knows of its instance.
type Self struct {
	ID      model.InstanceID
	Zone    model.Zone
	Regions map[model.Zone]model.Region
}

// State is the sub-reducer.
type State struct {
	self     Self
	targets  map[model.UpstreamID]*target
	services map[model.ServiceName]*service
	// delays holds the shortest round trip seen to each zone.
	delays map[model.Zone]model.Duration
	shares *regionShares
	rest   restLimit
	// Entries is the number of entry instances that share bounds.
	Entries int
}

// service holds the upstreams of a service in the order of their identifiers.
type service struct {
	spec    *model.ServiceSpec
	targets []*target
	// parts is the number of slots in each region over the mean of the regions.
	parts map[model.Region]float64
	// warm and cold are the moving averages of the time of a request at upstreams
	// that know its object and at others, mean that of all requests.
	warm, cold, mean float64
	// observed is set once any of them was learned from a response.
	observed bool
	crowds   map[model.Region]*crowd
	// kept is the share of objects that the own region handles, keptInZone that of
	// the own zone for large responses.
	kept, keptInZone keptShare
}

// expect takes the objective of a route for the time of work, as long as there
// was no response to learn it from.
func (s *service) expect(objective model.Duration) {
	if s.observed {
		return
	}
	if objective <= 0 {
		objective = defaultObjective
	}
	s.warm, s.cold, s.mean = warmPart*float64(objective), float64(objective), float64(objective)
}

// boundsCold reports whether the service bounds the requests at cold upstreams.
func (s *service) boundsCold() bool { return s.spec != nil && s.spec.ColdRequestRate > 0 }

// typical returns the usual time of a request.
func (s *service) typical(warm bool) float64 {
	if warm {
		return s.warm
	}
	return max(s.cold, s.warm)
}

// learn takes the time of a request. One slow request says little, so it counts
// as at most three usual ones.
func (s *service) learn(warm bool, work float64) {
	average := &s.cold
	if warm {
		average = &s.warm
	}
	*average += latencyWeight * (min(work, 3**average) - *average)
	s.mean += latencyWeight * (min(work, 3*s.mean) - s.mean)
	s.observed = true
}

// New returns the sub-reducer.
func New(self Self) *State {
	return &State{
		self:     self,
		targets:  map[model.UpstreamID]*target{},
		services: map[model.ServiceName]*service{},
		delays:   map[model.Zone]model.Duration{},
		shares:   newRegionShares(self.Regions[self.Zone], self.Regions),
		Entries:  1,
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
			former := t
			t = &target{hash: xxhash.Sum64String(string(reg.ID)), objects: objects{}}
			if former != nil {
				t.cold = former.cold
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
		t.service, t.crowd = svc, svc.crowd(t.region)
		svc.targets = append(svc.targets, t)
	}
	slots := map[model.Region]int{}
	for name, svc := range s.services {
		svc.spec = c.Table().Service(name)
		svc.parts = map[model.Region]float64{}
		total := 0
		for _, t := range svc.targets {
			slots[t.region] += t.registration.Slots
			svc.parts[t.region] += float64(t.registration.Slots)
			total += t.registration.Slots
		}
		for region := range svc.parts {
			svc.parts[region] *= float64(s.shares.count()) / float64(max(1, total))
		}
	}
	s.shares.expect(slots)
}

func (s *State) service(name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{crowds: map[model.Region]*crowd{}}
		svc.expect(0)
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
	if c.object != 0 {
		t.objects.add(at, c.object)
	}
	s.shares.note(t.region)
	t.begin(at)
	if svc := s.service(t.registration.Service); svc.boundsCold() && t.needsTurns(at) {
		t.cold.take(s.coldPeriod(svc))
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
	Warm bool
	Wait model.Duration
	// Took is the time of the send, Connect that of opening a connection for it.
	Took, Connect model.Duration
	Load          *model.LoadReport
	// Rested is how long the connection was unused before, 0 for a new one.
	Rested model.Duration
	// ColdFor is how much longer the upstream is cold, 0 if it did not say.
	ColdFor model.Duration
}

// Ended takes the end of a send.
func (s *State) Ended(at model.Time, id model.UpstreamID, end *End) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.end(at, end.Result)
	t.observeReport(at, end.Load)
	s.observeRest(at, t, end)
	if end.ColdFor > 0 {
		t.coldUntil = max(t.coldUntil, at.Add(end.ColdFor))
	}
	if end.Connect > 0 {
		if d, ok := s.delays[t.registration.Zone]; !ok || end.Connect < d {
			s.delays[t.registration.Zone] = end.Connect
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
		took := end.Took - s.delay(t)
		work := float64(max(0, took/2, took-end.Wait))
		t.observeSlowness(at, work/max(1, svc.typical(end.Warm)))
		svc.learn(end.Warm, work)
	case Refused:
		t.observeRefusal(at, 1)
	case Misdirected, Failed:
		t.fail(at)
	case TimedOut:
		// An upstream that answers others in the meantime is busy, not lost.
		if t.heardAt < at.Add(-end.Took) {
			t.fail(at)
		}
	}
}
