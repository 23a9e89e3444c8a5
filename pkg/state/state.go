package state

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Identity is what an instance knows of itself from its settings.
type Identity struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is where this instance takes callers' requests.
	Address string
	// Seed starts the random numbers of the reducer.
	Seed uint64
	// Policy names the policy that selects upstreams; "" is the default.
	Policy upstream.PolicyName
}

// State is the whole control state of an instance.
type State struct {
	identity Identity
	out      event.Effects
	config   *model.Config

	requests  *request.State
	upstreams *upstream.State
	permits   *permit.State
	ledger    *localLedger

	// peers are the instances with a standing link.
	peers map[model.InstanceID]view.Instance
	// distances caches the distance of each zone, and longest the longest
	// deadline that each service has had.
	distances map[model.Zone]int
	longest   map[model.ServiceName]model.Duration
	hinting   hinting
	// othersFirst makes this instance's requests and those of others take turns.
	othersFirst bool

	stopping bool
	// stopAt is when callers' cached look-ups have run out.
	stopAt   model.Time
	stopped  bool
	timerAt  model.Time
	viewDone bool
}

// New returns the state of an instance that has seen no event.
func New(identity Identity) *State {
	s := &State{
		identity: identity,
		permits:  permit.New(identity.ID),
		ledger:   &localLedger{},
		peers:    map[model.InstanceID]view.Instance{},
		longest:  map[model.ServiceName]model.Duration{},
		hinting:  hinting{stopping: map[model.InstanceID]bool{}},
	}
	s.upstreams = s.newUpstreams()
	s.requests = request.New(identity.ID, identity.Incarnation, &slots{s}, s.ledger)
	return s
}

// Step handles one event. The effects must be carried out in order; they are
// valid until the next call.
func (s *State) Step(ev event.Event) []event.Effect {
	s.out.Reset()
	s.route(ev.At, ev.Body)
	s.decideClaims(ev.At)
	s.pump(ev.At)
	s.sendHints(ev.At)
	s.checkStopped(ev.At)
	s.publish()
	s.setTimer()
	return s.out.List()
}

// route hands the event to the sub-reducer that owns its subject.
func (s *State) route(at model.Time, body event.Body) {
	out := &s.out
	switch b := body.(type) {
	case event.RequestArrived:
		s.requests.Arrive(at, &b, out)
	case event.RequestCanceled:
		s.requests.Canceled(at, b.ID, out)
	case event.AttemptAnswered:
		s.requests.Answered(at, &b, out)
	case event.AttemptEnded:
		s.requests.Ended(at, &b, out)
	case event.CancelConfirmed:
		s.requests.CancelConfirmed(at, &b, out)
	case event.UpstreamAnnounced:
		s.upstreams.Announce(at, b, out)
	case event.PeerConnected:
		s.peers[b.Peer] = view.Instance{ID: b.Peer, Address: b.Address, Zone: b.Zone}
		s.viewDone = false
	case event.PeerLost:
		delete(s.peers, b.Peer)
		s.peerLost(at, b.Peer)
		s.viewDone = false
	case event.PeerReceived:
		s.receive(at, b)
	case event.ConfigLoaded:
		s.configure(at, &b.Config)
	case event.TimerFired:
		s.timerAt = 0
		s.wake(at)
	case event.Started:
		out.Add(event.Log{Code: logevent.ProcessStarted, Fields: []logevent.Field{
			logevent.F("instance", s.identity.ID), logevent.F("zone", s.identity.Zone)}})
	case event.StopRequested:
		s.stop(at)
	}
}

// receive routes a message of another instance.
func (s *State) receive(at model.Time, b event.PeerReceived) {
	if s.receivePermit(at, b) {
		return
	}
}

// configure puts a configuration in force unless a newer one is.
func (s *State) configure(at model.Time, c *model.Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.measureDistances()
	s.requests.Configure(c)
	s.upstreams.Reconfigure()
	s.viewDone = false
	s.out.Add(event.Log{Code: logevent.ConfigInForce, Fields: []logevent.Field{logevent.F("version", c.Version)}})
	for _, svc := range c.Services {
		s.pumpService(at, svc.Name)
	}
}

// wake handles everything that is due.
func (s *State) wake(at model.Time) {
	s.upstreams.Wake(at, &s.out)
	s.permits.Wake(at, &s.out)
	s.requests.Wake(at, &s.out)
}

// decideClaims passes on the ledger's decisions of this step.
func (s *State) decideClaims(at model.Time) {
	for _, d := range s.ledger.take() {
		s.requests.ClaimDecided(at, d, &s.out)
	}
}

// stop begins a graceful stop: look-ups stop naming this instance, and callers
// with a cached answer are served until it has run out.
func (s *State) stop(at model.Time) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.stopAt = at.Add(view.LookupTTL)
	s.viewDone = false
	s.out.Add(event.Log{Code: logevent.ProcessStopping})
}

func (s *State) checkStopped(at model.Time) {
	if !s.stopping || s.stopped || at < s.stopAt || s.requests.Open() > 0 {
		return
	}
	s.stopped = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped})
	s.out.Add(event.Stopped{})
}

// publish makes a new view if anything it shows has changed.
func (s *State) publish() {
	if s.viewDone {
		return
	}
	s.viewDone = true
	self := view.Instance{ID: s.identity.ID, Address: s.identity.Address, Zone: s.identity.Zone}
	self.Region = s.config.RegionOf(self.Zone)
	v := &view.View{Self: self, Config: s.config, Stopping: s.stopping}
	for _, p := range s.peers {
		p.Region = s.config.RegionOf(p.Zone)
		v.Instances = append(v.Instances, p)
	}
	if !s.stopping {
		v.Instances = append(v.Instances, self)
	}
	sort.Slice(v.Instances, func(i, j int) bool { return v.Instances[i].ID < v.Instances[j].ID })
	s.out.Add(event.Publish{View: v})
}

// setTimer asks for a wake-up at the earliest time that any sub-reducer needs.
func (s *State) setTimer() {
	next := earliest(s.upstreams.NextWake(), s.permits.NextWake(), s.requests.NextWake(), s.nextHint())
	if s.stopping && !s.stopped {
		next = earliest(next, s.stopAt)
	}
	if next == 0 || next == s.timerAt {
		return
	}
	s.timerAt = next
	s.out.Add(event.SetTimer{At: next})
}

func earliest(times ...model.Time) model.Time {
	var next model.Time
	for _, t := range times {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	return next
}
