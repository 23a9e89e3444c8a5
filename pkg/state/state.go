package state

import (
	"math/rand/v2"

	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/ledger"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/membership"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Identity holds the settings of an instance that the reducer needs.
type Identity struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// Address is the address at which this instance accepts callers' requests.
	Address string
	// PeerAddress is the address at which this instance accepts connections of
	// other instances.
	PeerAddress string
	// Seed seeds the random numbers of the reducer.
	Seed uint64
	// Policy is the name of the policy that selects upstreams (see
	// upstream.NewPolicy), "" for the default. Only benchmarks set it.
	Policy string
	// IgnoreSlots dispatches requests at once without counting slots. Benchmarks
	// use it for baselines in which requests queue at the upstreams. Its name in
	// recordings is BindEarly.
	IgnoreSlots bool `cbor:"BindEarly"`
	// HasDisk is true if the instance has a data folder. Its name in recordings is
	// Disk.
	HasDisk bool `cbor:"Disk"`
	// ControlGroup lists the instances that store the replicated log.
	ControlGroup []model.InstanceID
}

// State is the complete control state of an instance.
type State struct {
	identity Identity
	out      event.Effects
	config   *model.Config

	requests  *request.State
	upstreams *upstream.State
	permits   *permit.State
	ledger    *ledger.State
	members   *membership.State
	// agreement is the state of the agreement protocol of the control group, nil
	// on instances outside the group.
	agreement *agreement.State

	configuration *configuration

	// peers holds the connected instances by identifier.
	peers map[model.InstanceID]view.Instance
	// distances holds 1 for each zone of this instance's region, including its own
	// zone, and 2 for each other zone of the configuration. The method distance
	// reads it.
	distances map[model.Zone]int
	// longestTimeouts holds the longest timeout that each service has had since
	// this process started.
	longestTimeouts map[model.ServiceName]model.Duration
	offerBroadcast  offerBroadcast
	// peerRequestsFirst is true if the next free slot is assigned to a permit
	// request of another instance rather than to a request of this instance. The
	// two kinds alternate.
	peerRequestsFirst bool
	// nextTarget is the number of other instances' permit requests granted or
	// refused so far. Modulo the number of targets (zones or regions to which these
	// requests are restricted), it is the index of the target that is tried first,
	// so that the targets are served round-robin.
	nextTarget int

	// startedAt is when this process started.
	startedAt model.Time
	// upstreamsSeenAt holds, for each service, the latest time at which the method
	// tick found known upstreams of the service.
	upstreamsSeenAt map[model.ServiceName]model.Time
	// stopping is true once a stop was requested.
	stopping bool
	// lookupsExpireAt is the time by which callers no longer use cached lookup
	// results that contain this stopping instance, 0 until it is known.
	lookupsExpireAt model.Time
	// stopped is true once the stop is complete.
	stopped bool
	// handingOver is true once a stopping instance has begun to hand over its
	// upstreams to other instances.
	handingOver bool
	// timerAt is the time of the last SetTimer effect, 0 once that timer has
	// fired.
	timerAt model.Time
	rng     *rand.Rand
	// viewPublished is false if the view, from which lookups are answered, may have
	// changed since it was published.
	viewPublished bool
}

// New returns the state of an instance before its first event. A member of the
// control group needs a codec for the replicated log; for other instances it may be
// nil.
func New(identity Identity, codec ChangeCodec) *State {
	s := &State{
		identity:        identity,
		permits:         permit.New(identity.ID, identity.Incarnation),
		ledger:          ledger.New(identity.ID, identity.Incarnation),
		members:         newMembership(&identity),
		peers:           map[model.InstanceID]view.Instance{},
		rng:             rand.New(rand.NewPCG(identity.Seed, 3)),
		longestTimeouts: map[model.ServiceName]model.Duration{},
		upstreamsSeenAt: map[model.ServiceName]model.Time{},
		offerBroadcast:  offerBroadcast{stoppingPeers: map[model.InstanceID]bool{}},
	}
	s.agreement = newAgreement(identity)
	s.upstreams = s.newUpstreams()
	s.upstreams.Policy = upstream.NewPolicy(identity.Policy)
	s.requests = request.New(identity.ID, identity.Incarnation, &slotSource{s}, s.ledger)
	s.configuration = newConfiguration(s, newControlLog(s, codec))
	return s
}

// Step handles one event and returns its effects. The caller must execute them
// in order. The slice is valid until the next call.
func (s *State) Step(ev event.Event) []event.Effect {
	s.out.Reset()
	s.startHandoverIfDue(ev.At)
	s.handle(ev.At, ev.Body)
	s.applyCommitted(ev.At)
	s.applyClaimDecisions(ev.At)
	s.dispatchWaiting(ev.At)
	s.tick(ev.At)
	s.finishStopIfDone(ev.At)
	s.publishView()
	s.setTimer()
	return s.out.List()
}

// handle passes an event to the sub-reducers that it concerns.
func (s *State) handle(at model.Time, body event.Body) {
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
		s.members.PeerConnected(at, connectedMember(&b), out)
		s.sendOffersTo(at, b.Peer)
		s.configuration.distribution.PeerConnected(at, b.Peer, b.Incarnation, b.Zone, out)
	case event.PeerLost:
		delete(s.peers, b.Peer)
		s.members.PeerLost(b.Peer)
		s.peerLost(at, b.Peer)
		s.configuration.distribution.PeerLost(at, b.Peer, out)
	case event.PeerReceived:
		s.handleMessage(at, b)
	case event.StorageLoaded:
		s.storageLoaded(at, b)
	case event.Persisted:
		s.persisted(at, b)
	case event.TimerFired:
		s.timerAt = 0
		s.handleTimer(at)
	case event.OutcomeRequested:
		s.ledger.Query(at, b, out)
	case event.Started:
		s.startedAt = at
		s.permits.SetStartTime(at)
		s.configuration.distribution.Start(at)
		s.ledger.Start(at)
		s.members.Start(at)
		out.Add(event.Log{Code: logevent.ProcessStarted, Fields: []logevent.Field{
			logevent.F("instance", s.identity.ID), logevent.F("zone", s.identity.Zone)}})
	case event.StopRequested:
		s.stop(at)
	default:
		s.handleConfigEvent(at, body)
	}
}

// handleMessage passes a message of another instance to the sub-reducer to whose
// protocol the message belongs.
func (s *State) handleMessage(at model.Time, b event.PeerReceived) {
	switch {
	case s.receivePermit(at, b):
	case s.ledger.Receive(at, b.From, b.Message, &s.out):
	case s.members.Receive(at, b.From, b.Message, &s.out):
	default:
		s.configuration.distribution.Receive(at, b.From, b.Message, &s.out)
		s.receiveAgreement(at, b)
	}
}

// applyConfig puts a configuration in force unless the same or a newer version is
// already in force.
func (s *State) applyConfig(at model.Time, c *model.Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	previous := s.config
	s.config = c
	s.updateDistancesAndTimeouts()
	s.requests.Configure(c)
	s.permits.Configure(at, s.shiftShares(previous), s.requests)
	s.upstreams.Reconfigure()
	s.ledger.Configure(at, c)
	s.viewPublished = false
	s.out.Add(event.Log{Code: logevent.ConfigInForce, Fields: []logevent.Field{logevent.F("version", c.Version)}})
	for _, svc := range c.Services {
		s.dispatchService(at, svc.Name)
	}
}

// handleTimer calls Wake of all sub-reducers, so that each handles its timeouts and
// periodic work that are due.
func (s *State) handleTimer(at model.Time) {
	s.upstreams.Wake(at, &s.out)
	s.permits.Wake(at, s.requests, &s.out)
	s.requests.Wake(at, &s.out)
	s.ledger.Wake(at, &s.out)
	s.members.Wake(at, &s.out)
	s.configuration.distribution.Wake(at, &s.out)
	s.wakeAgreement(at)
}

// publishView publishes a new view if its content may have changed. Lookups are
// answered from the published view.
func (s *State) publishView() {
	if !s.members.ServingChangedSinceLastCall() && s.viewPublished {
		return
	}
	s.viewPublished = true
	self := view.Instance{ID: s.identity.ID, Address: s.identity.Address, Zone: s.identity.Zone}
	self.Region = s.config.RegionOf(self.Zone)
	s.out.Add(event.Publish{View: view.New(self, s.config, s.servingInstances(), s.stopping)})
}

// setTimer requests a TimerFired event at the earliest wake time of all
// sub-reducers if that time differs from the one requested last.
func (s *State) setTimer() {
	next := earliest(s.upstreams.NextWake(), s.permits.NextWake(), s.requests.NextWake(), s.nextTick(), s.nextStopWake(),
		s.ledger.NextWake(), s.members.NextWake(), s.configuration.distribution.NextWake(), s.nextAgreementWake())
	if next == 0 || next == s.timerAt {
		return
	}
	s.timerAt = next
	s.out.Add(event.SetTimer{At: next})
}

// earliest returns the earliest of the times. The time 0 stands for never.
func earliest(times ...model.Time) model.Time {
	var next model.Time
	for _, t := range times {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	return next
}
