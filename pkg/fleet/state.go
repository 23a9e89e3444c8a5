package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/rateshare"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
	"github.com/anvilcrank/anvilcrank/pkg/replica"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
)

// Identity identifies an instance and its process, and holds the settings of
// the instance that the reducer uses.
type Identity struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
	// Control is true for the control role and false for the entry role.
	Control bool
	Zone    model.Zone
	Regions map[model.Zone]model.Region
	// BootstrapMembers are the first members of the control group of a new
	// deployment. The list is empty if the instance joins an existing deployment.
	BootstrapMembers []model.InstanceID
	// MinVoters is the number of voters down to which the control group removes
	// voters that stopped answering, 0 if it removes none.
	MinVoters int
	// Seed is the seed of the reducer's random numbers.
	Seed uint64
	// HeartbeatInterval is the interval at which upstreams send heartbeats.
	HeartbeatInterval model.Duration
	// RetryBudget limits how many retries all entry instances together send for
	// the requests to a service.
	RetryBudget routed.RetryBudgetLimits
	// NetworkBytesPerSecond is the network bandwidth of the instance, 0 if it is
	// not known.
	NetworkBytesPerSecond int64
	// StopGracePeriod is how long the process may take to stop after the stop was
	// requested.
	StopGracePeriod model.Duration
}

// CommandCodec encodes and decodes the commands and snapshots in the replicated
// log.
type CommandCodec interface {
	EncodeCommand(*catalog.Command) ([]byte, error)
	DecodeCommand([]byte) (*catalog.Command, error)
	EncodeSnapshot(*catalog.Snapshot) ([]byte, error)
	DecodeSnapshot([]byte) (*catalog.Snapshot, error)
}

// State is the complete control state of an instance.
type State struct {
	identity Identity
	codec    CommandCodec
	out      event.Effects

	catalog  *catalog.State
	registry *registry.State
	replica  *replica.State
	balance  *balance.State
	requests *routed.State
	// agreement is the replicated log. It is nil at entry instances.
	agreement *agreement.State

	records          records
	calls            pendingCalls
	pauses           pauseDetector
	stopping         gracefulStop
	heartbeatReports heartbeatReports
	rates            rateShares
	// constraints holds the published numbers of constrained upstreams by service,
	// which are published again at constraintsAt.
	constraints   map[model.ServiceName]constraints
	constraintsAt model.Time
	directory     publishedDirectory

	// syncedRevision is the revision of the records that package balance has. The next
	// sync is due at nextSyncAt, or after minSyncInterval if the revision changes.
	syncedRevision       uint64
	lastSyncAt           model.Time
	nextSyncAt, resyncAt model.Time
	// savedRevision is the revision of the registrations that were saved last. They
	// are saved again at nextSaveAt at the earliest, and not before registrationsLoaded
	// is true: those in the data folder would be lost.
	savedRevision       uint64
	registrationsLoaded bool
	nextSaveAt          model.Time

	// snapshotPosition and snapshotBytes are the position and the size of the latest snapshot,
	// bytesSinceSnapshot is the size of the commands that were applied since.
	snapshotPosition                  uint64
	snapshotBytes, bytesSinceSnapshot int
	timerAt                           model.Time
	startedAt                         model.Time
}

// New returns the state of an instance before its first event.
func New(identity Identity, codec CommandCodec) *State {
	s := &State{
		identity: identity,
		codec:    codec,
		catalog:  catalog.New(),
		registry: registry.New(identity.HeartbeatInterval),
		balance:  balance.New(balance.Identity{ID: identity.ID, Zone: identity.Zone, Regions: identity.Regions}),
	}
	s.requests = routed.New(s.balance, identity.RetryBudget, rand.New(rand.NewPCG(identity.Seed, 11)), identity.NetworkBytesPerSecond)
	s.records = records{state: s}
	s.replica = replica.New(replica.Identity{
		ID: identity.ID, Control: identity.Control, Zone: identity.Zone, Regions: identity.Regions}, &s.records)
	s.calls = newPendingCalls()
	if identity.Control {
		s.agreement = agreement.New(agreement.Config{
			Instance: identity.ID, Group: identity.BootstrapMembers, OpenMembership: true, MinVoters: identity.MinVoters, Seed: identity.Seed})
	}
	return s
}

// Step handles one event and returns its effects, which the caller must execute
// in order. The slice is valid until the next call of Step.
func (s *State) Step(ev event.Event) []event.Effect {
	s.out.Reset()
	s.detectPause(ev.At)
	s.handle(ev.At, ev.Body)
	s.applyCommitted(ev.At)
	s.replyToReads()
	s.replyToConfirmationCalls()
	s.stopIfDone(ev.At)
	s.syncBalance(ev.At)
	s.publishDirectory(ev.At)
	s.setTimer(ev.At)
	return s.out.List()
}

func (s *State) handle(at model.Time, body event.Body) {
	out := &s.out
	switch b := body.(type) {
	case event.RoutedArrived:
		if s.stopping.rejectsNewRequests(at) {
			out.Add(event.Reject{Request: b.ID, Code: result.Stopping})
			return
		}
		s.requests.Arrive(at, &b, s.routes(), out)
	case event.SendEnded:
		previous := s.balance.RequestLimit(b.Upstream)
		s.requests.Ended(at, &b, out)
		s.limitStated(at, &b, previous)
	case event.UpstreamStated:
		s.upstreamStated(at, b)
	case event.RequestCanceled:
		s.requests.Canceled(b.ID, out)
	case event.HeartbeatReceived:
		s.receiveHeartbeat(at, b)
	case event.DepartureReceived:
		s.receiveDeregistration(at, b)
	case event.RegistrationsLoaded:
		s.loadRegistrations(at, b)
	case event.RegistrationsPersisted:
		s.replica.RegistrationsPersisted(b, out)
	case event.ItemsProposed:
		s.proposeItems(at, b)
	case event.EvacuationProposed:
		s.proposeEvacuation(at, b)
	case event.ClockStepped:
		s.clockStepped(at, b.By)
	case event.CallCanceled:
		s.cancelCall(b.Call)
	case event.ItemsRequested:
		s.readItems(at, b)
	case event.PeerConnected:
		s.updateHeartbeat(at)
		s.replica.PeerConnected(at, replica.Peer{ID: b.Peer, Zone: b.Zone, Address: b.Address, PeerAddress: b.PeerAddress}, out)
	case event.PeerLost:
		s.replica.PeerLost(b.Peer)
	case event.PeerReceived:
		s.receive(at, b)
	case event.StorageLoaded:
		if s.agreement != nil {
			s.agreement.Restore(at, b, out)
		}
	case event.Persisted:
		s.persisted(at, b)
	case event.TimerFired:
		s.timerAt = 0
		s.handleTimer(at)
	case event.Started:
		s.startedAt = at
		s.replica.Start(at)
		s.nextSyncAt = at.Add(leaseCheckInterval)
		out.Add(event.Log{Code: logevent.ProcessStarted, Fields: []logevent.Field{
			logevent.F("zone", s.identity.Zone), logevent.F("control", s.identity.Control)}})
	case event.StopRequested:
		s.beginStop(at)
	}
}

// receive passes a message of another instance to the sub-reducer that handles
// it.
func (s *State) receive(at model.Time, b event.PeerReceived) {
	switch m := b.Message.(type) {
	case *message.Proposal:
		if s.agreement != nil {
			s.agreement.Propose(at, m.Data, &s.out)
		}
	case *message.UpstreamHeartbeats:
		s.receiveHeartbeatReport(at, m)
	case *message.RateDemands:
		s.receiveRateDemands(at, b.From, m)
	case *message.RateShares:
		s.balance.SetRateShares(at, at.Add(rateshare.Validity), m.Shares)
	default:
		s.logUndecodable(b)
		changed, ok := s.replica.Receive(at, b.From, b.Message, &s.out)
		if ok {
			s.recordsMerged(at, &changed)
			return
		}
		if s.agreement != nil {
			s.agreement.SetConnectedPeers(s.replica.ControlPeers())
			s.agreement.Receive(at, b.From, b.Message, &s.out)
		}
	}
}

func (s *State) persisted(at model.Time, b event.Persisted) {
	switch {
	case s.agreement == nil:
	case b.Failure != "":
		s.agreement.StorageFailed(at, b.Failure, &s.out)
	default:
		s.agreement.Persisted(at, b.Seq, &s.out)
	}
}

// routes returns the table of the routes in force. It returns nil until the
// instance has received all items: with a part of them, requests for existing
// paths would be rejected as not found.
func (s *State) routes() *catalog.Table {
	if !s.catalog.HasItems() || !s.identity.Control && !s.replica.Synced() {
		return nil
	}
	return s.catalog.Table()
}

// handleTimer lets each sub-reducer do the work that is due now, such as
// sending heartbeats and ending requests at their deadlines.
func (s *State) handleTimer(at model.Time) {
	s.updateHeartbeat(at)
	s.replica.Wake(at, &s.out)
	s.requests.Wake(at, &s.out)
	s.retryProposals(at)
	s.retryReads(at)
	s.sendHeartbeatReport(at)
	s.saveRegistrations(at)
	s.reportRateDemands(at)
	if s.agreement != nil {
		s.agreement.SetConnectedPeers(s.replica.ControlPeers())
		s.agreement.Wake(at, &s.out)
	}
}

// updateHeartbeat sets what this instance says of itself in heartbeats to other
// instances.
func (s *State) updateHeartbeat(at model.Time) {
	s.replica.Ready = s.isReady()
	s.replica.HasConfig = s.catalog.HasItems()
	s.replica.ReadyEntryInstances = len(s.directory.entries)
	s.replica.Lagging = s.agreement != nil && (s.agreement.IsLagging(at) || !s.catalog.HasItems())
	if s.agreement != nil {
		s.replica.LeaderTerm = s.agreement.LeadingTerm()
	}
}

// leaseCheckInterval is how often entry instances check the leases of
// upstreams.
const leaseCheckInterval = time.Second

// minSyncInterval is the least time between two syncs. A sync goes through all
// registrations, and many of them can change at the same time.
const minSyncInterval = 25 * time.Millisecond

// syncBalance passes the registrations, services and evacuations to package
// balance if they have changed, at most every minSyncInterval. It also does so
// every leaseCheckInterval, so that expired leases take effect.
func (s *State) syncBalance(at model.Time) {
	if s.identity.Control {
		return
	}
	revision := s.registry.Revision() + s.records.itemChanges
	if revision == s.syncedRevision && at < s.nextSyncAt {
		return
	}
	if s.resyncAt = s.lastSyncAt.Add(minSyncInterval); at < s.resyncAt && at < s.nextSyncAt {
		return
	}
	s.syncedRevision = revision
	s.lastSyncAt, s.resyncAt = at, 0
	s.nextSyncAt = at.Add(leaseCheckInterval)
	s.balance.EntryInstances = max(s.replica.EntryInstanceCount(), s.balance.EntryInstances/2, 1)
	s.balance.Sync(at, s.registry, s.catalog, s.heartbeatReports.isComplete(at))
	s.publishConstraints(at)
}

// setTimer requests a TimerFired event for the earliest wake time of all
// sub-reducers.
func (s *State) setTimer(at model.Time) {
	next := s.replica.NextWake()
	for _, t := range []model.Time{s.requests.NextWake(), s.calls.nextWake(), s.stopping.nextWake(), s.heartbeatReports.nextWake(s.identity.Control), s.rates.reportAt, s.resyncAt} {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	if s.agreement != nil {
		if t := s.agreement.NextWake(); t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	if next == 0 || next == s.timerAt {
		return
	}
	s.timerAt, s.pauses.timerDue = next, max(next, at)
	s.out.Add(event.SetTimer{At: next})
}
