package replica

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// HeartbeatInterval is the interval at which an instance sends a heartbeat to
	// each of its peers. Heartbeats of upstreams are handled by package fleet.
	HeartbeatInterval = 500 * time.Millisecond
	// AliveTimeout is how long after its last heartbeat an instance counts as
	// alive: three intervals plus the transmission time between regions.
	AliveTimeout = 3*HeartbeatInterval + 200*time.Millisecond
	// mismatchesBeforePull is the number of consecutive heartbeats with a
	// different digest after which records are pulled. A single mismatch is common
	// while a push is in transit.
	mismatchesBeforePull = 2
	// pullInterval is the least time between two pulls by this instance. The reply
	// to a pull may contain all records, so an instance does not pull from several
	// peers at the same time.
	pullInterval = time.Second
	// addressPeriod is the period, in heartbeats to a peer, at which a heartbeat
	// also carries the addresses of the control instances. They are also sent when
	// they have changed.
	addressPeriod = 20
	// fullRatePeers is the number of control instances up to which all heartbeats
	// between entry and control instances are sent every HeartbeatInterval. With more
	// of them, those between instances without a subscription are sent less often, so
	// that their number does not grow with the fleet.
	fullRatePeers = 9
	// maxIntervals is the largest number of intervals between two heartbeats. An
	// instance that is lost without notice is then detected within 5 s.
	maxIntervals = 3
	// batchInterval is the least time between two messages with changed records to
	// the subscribed entry instances. Many upstreams register at the same time.
	batchInterval = 50 * time.Millisecond
	// minNotHeardTime is the least time between two heartbeats with NotHeard after which a
	// connection counts as dead. It is shorter than HeartbeatInterval, and keeps heartbeats
	// that waited while this instance itself did not run from counting.
	minNotHeardTime = 400 * time.Millisecond
	// maxSubscriptions is the number of control instances to which an entry
	// instance subscribes. It subscribes to two, so that changes still arrive
	// without delay when one of them is lost.
	maxSubscriptions = 2
)

// Store holds the records of an instance.
type Store interface {
	// Digest returns a hash of all records.
	Digest() uint64
	// Versions returns the versions of all records.
	Versions() []message.RecordVersion
	// Missing returns the records that a peer with the given versions lacks or has
	// in a different version.
	Missing(at model.Time, versions []message.RecordVersion) message.Records
	// Merge stores those of the given records that are newer than the stored
	// versions. It returns the records that it stored.
	Merge(at model.Time, r *message.Records) message.Records
}

// Identity describes the instance that runs the sub-reducer.
type Identity struct {
	ID      model.InstanceID
	Control bool
	Zone    model.Zone
	Regions map[model.Zone]model.Region
}

// Peer is another instance that is connected to this one.
type Peer struct {
	ID          model.InstanceID
	Zone        model.Zone
	Address     string
	PeerAddress string
	// Control is true if the peer has the control role.
	Control bool
	// Ready is true if the peer accepts new client connections.
	Ready bool
	// LastHeartbeat is when the latest heartbeat of the peer arrived. Intervals is the
	// number of heartbeat intervals until the next one.
	LastHeartbeat model.Time
	Intervals     int
	// ReadyEntryInstances is the number of ready entry instances from which the
	// peer, a control instance, receives heartbeats.
	ReadyEntryInstances int
	// Lagging is true if the peer, a control instance, may lack committed changes.
	Lagging bool
	// LeaderTerm is the term in which the peer leads the control group, 0 if it does
	// not.
	LeaderTerm uint64

	// notHeardSince is when the first of the latest heartbeats of the peer with NotHeard
	// arrived, 0 if the latest one was without it.
	notHeardSince model.Time
	// subscribed is true if the peer subscribes to this instance, and subscribedTo
	// if this instance subscribes to the peer.
	subscribed   bool
	subscribedTo bool
	// mayHaveMissed is true after this instance has subscribed to the peer, until
	// their digests agree or records are pulled from the peer. Changes from before
	// the subscription are not pushed.
	mayHaveMissed bool
	// pulledAt is when records were last pulled from the peer. pullWasEmpty is true
	// if that brought nothing, or no answer yet.
	pulledAt     model.Time
	pullWasEmpty bool
	mismatches   int
	// heartbeatsSent counts the heartbeats sent to the peer, and intervalsPassed the
	// intervals since the last one. addressesSent is the revision of the addresses in
	// the latest heartbeat that carried them.
	heartbeatsSent, intervalsPassed int
	addressesSent                   uint64
}

// State is the sub-reducer that replicates records between instances.
type State struct {
	self  Identity
	store Store
	peers map[model.InstanceID]*Peer
	// sorted holds the peers in the order of their identifiers.
	sorted []*Peer
	// entryRevision changes with the entry instances among the peers, and
	// addressRevision with the control instances.
	entryRevision, addressRevision uint64
	// batch holds the changed records for the subscribed entry instances that are sent
	// at batchAt; batchAt is 0 if there are none. batchSentAt is when the latest batch
	// was sent.
	batch                message.Records
	batchAt, batchSentAt model.Time
	// connectRequested holds the addresses to which this instance has already
	// requested a connection.
	connectRequested map[string]bool

	// Ready, HasConfig, ReadyEntryInstances, Lagging and LeaderTerm are set by the
	// caller and sent to the peers with the next heartbeat. They have the same
	// meaning as in message.PeerHeartbeat.
	Ready               bool
	HasConfig           bool
	ReadyEntryInstances int
	Lagging             bool
	LeaderTerm          uint64

	// latest is the time of the latest event that this sub-reducer handled.
	latest        model.Time
	nextHeartbeat model.Time
	lastPull      model.Time
	lastAckID     uint64
	pending       map[uint64]*pendingConfirmation
	// diskWrites holds the writes of registrations to the data folder that have no
	// result yet, in the order of their sequence numbers. lastWrite is the latest one.
	diskWrites []diskWrite
	lastWrite  uint64
	// confirmations are the results that TakeConfirmations returns next.
	confirmations []Confirmation
	// synced is true once this instance has had the same records as a control
	// instance that has the configuration.
	synced bool
	// loggedSubscriptions holds the control instances that were logged last as
	// those to which this instance subscribes.
	loggedSubscriptions []model.InstanceID
}

// pendingConfirmation is a call of Confirm without a result yet. storedAt holds
// the control instances that have stored the records, registrations on their disks.
// needed is how many of them must have done so for the call to succeed.
type pendingConfirmation struct {
	token    uint64
	needed   int
	storedAt map[model.InstanceID]bool
	deadline model.Time
}

// diskWrite is a write of registrations to the data folder. Once it is synced, the
// confirmation ackID counts this instance as one that stores them. The confirmation is
// one of the peer, or of this instance if peer is empty.
type diskWrite struct {
	seq, ackID uint64
	peer       model.InstanceID
}

// Confirmation is the result of a call of Confirm. OK is true if enough control
// instances have stored the records.
type Confirmation struct {
	Token uint64
	OK    bool
}

// New returns the sub-reducer without peers.
func New(self Identity, store Store) *State {
	return &State{self: self, store: store, peers: map[model.InstanceID]*Peer{}, connectRequested: map[string]bool{}, pending: map[uint64]*pendingConfirmation{}}
}

// Start schedules the first heartbeat.
func (s *State) Start(at model.Time) {
	s.latest = at
	s.nextHeartbeat = at.Add(HeartbeatInterval)
}

// Synced reports whether, at some time since its start, this instance has had
// all records of a control instance that has the configuration. Before that it
// may have received single changes only.
func (s *State) Synced() bool { return s.synced }

// PeerConnected adds a connected peer and sends it a heartbeat.
func (s *State) PeerConnected(at model.Time, p Peer, out *event.Effects) {
	p.LastHeartbeat = at
	s.latest = at
	s.peers[p.ID] = &p
	s.peersChanged()
	s.updateSubscriptions()
	s.sendHeartbeats([]*Peer{&p}, out)
}

// peersChanged sorts the peers again.
func (s *State) peersChanged() {
	s.sorted = make([]*Peer, 0, len(s.peers))
	for _, p := range s.peers {
		s.sorted = append(s.sorted, p)
	}
	slices.SortFunc(s.sorted, func(a, b *Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.entryRevision++
}

// EntryRevision returns a number that changes when an entry instance connects, is
// lost, becomes ready or alive, or is no longer ready. It does not change when
// heartbeats stop.
func (s *State) EntryRevision() uint64 { return s.entryRevision }

// PeerLost removes a peer whose connection was lost.
func (s *State) PeerLost(id model.InstanceID) {
	delete(s.peers, id)
	s.peersChanged()
	s.updateSubscriptions()
}

// Receive handles a message of another instance. It returns the records that
// changed, and false if another sub-reducer must handle the message.
func (s *State) Receive(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) (message.Records, bool) {
	s.latest = at
	p := s.peers[from]
	switch m := m.(type) {
	case *message.Records:
		return s.receiveRecords(at, from, m, out), true
	case *message.RecordsAck:
		s.stored(m.AckID, from)
	case *message.Pull:
		r := s.store.Missing(at, m.Versions)
		// A control instance that has just started may lack records itself.
		r.Complete = s.HasConfig
		out.Add(event.Send{To: from, Message: &r})
	case *message.PeerHeartbeat:
		if p != nil {
			s.receiveHeartbeat(at, p, m, out)
		}
	default:
		return message.Records{}, false
	}
	return message.Records{}, true
}

// isEmpty reports whether r contains no records.
func isEmpty(r *message.Records) bool {
	return len(r.Items) == 0 && len(r.Evacuations) == 0 && len(r.Registrations) == 0
}

func (s *State) receiveRecords(at model.Time, from model.InstanceID, m *message.Records, out *event.Effects) message.Records {
	changed := s.store.Merge(at, m)
	if m.AckID != 0 {
		s.persist(m, diskWrite{peer: from, ackID: m.AckID}, out)
	}
	if p := s.peers[from]; p != nil && m.Complete {
		s.synced = s.synced || s.maySyncWith(p)
		p.pullWasEmpty = p.pullWasEmpty && isEmpty(&changed)
	}
	if m.Complete {
		out.Add(event.Log{Code: logevent.RecordsPulled, Fields: []logevent.Field{
			logevent.F("peer", from), logevent.F("items", len(changed.Items)), logevent.F("evacuations", len(changed.Evacuations)),
			logevent.F("registrations", len(changed.Registrations))}})
	}
	if s.self.Control {
		s.Forward(at, changed, out)
	}
	return changed
}

// Forward sends changed records to the subscribed entry instances: at once if none
// were sent within batchInterval, else together with later ones.
func (s *State) Forward(at model.Time, r message.Records, out *event.Effects) {
	if isEmpty(&r) {
		return
	}
	s.batch.Items = append(s.batch.Items, r.Items...)
	s.batch.Evacuations = append(s.batch.Evacuations, r.Evacuations...)
	s.batch.Registrations = append(s.batch.Registrations, r.Registrations...)
	if s.batchAt == 0 {
		s.batchAt = max(at, s.batchSentAt.Add(batchInterval))
	}
	s.sendBatch(at, out)
}

// sendBatch sends the batch to the subscribed entry instances if it is due.
func (s *State) sendBatch(at model.Time, out *event.Effects) {
	if s.batchAt == 0 || at < s.batchAt {
		return
	}
	r := s.batch
	s.batch, s.batchAt, s.batchSentAt = message.Records{}, 0, at
	for _, p := range s.sorted {
		if p.subscribed && !p.Control {
			out.Add(event.Send{To: p.ID, Message: &r})
		}
	}
}

// Push sends records that were changed at this instance to all control instances
// and to the subscribed entry instances. The other entry instances receive them
// from the control instances to which they subscribe.
func (s *State) Push(at model.Time, r message.Records, out *event.Effects) {
	for _, p := range s.sorted {
		if p.Control {
			out.Add(event.Send{To: p.ID, Message: &r})
		}
	}
	if s.self.Control {
		s.Forward(at, r, out)
	}
}

// Confirm sends records to all peers and requests acknowledgements from the
// control instances. TakeConfirmations later returns a result with the given
// token: a success once the needed number of control instances, which may include this
// one, have stored the records, registrations on their disks, or a failure after the
// deadline.
func (s *State) Confirm(token uint64, r message.Records, needed int, deadline model.Time, out *event.Effects) {
	s.lastAckID++
	c := &pendingConfirmation{token: token, needed: needed, storedAt: map[model.InstanceID]bool{}, deadline: deadline}
	s.pending[s.lastAckID] = c
	withAckID := r
	withAckID.AckID = s.lastAckID
	for _, p := range s.sorted {
		if p.Control {
			out.Add(event.Send{To: p.ID, Message: &withAckID})
		} else {
			out.Add(event.Send{To: p.ID, Message: &r})
		}
	}
	s.persist(&r, diskWrite{ackID: s.lastAckID}, out)
}

// persist writes the registrations of r to the data folder, and confirms the write when
// it is synced. Other records are not written: an instance has them from the replicated
// log, which persists them.
func (s *State) persist(r *message.Records, w diskWrite, out *event.Effects) {
	if len(r.Registrations) == 0 {
		s.confirmWrite(w, out)
		return
	}
	s.lastWrite++
	w.seq = s.lastWrite
	s.diskWrites = append(s.diskWrites, w)
	out.Add(event.PersistRegistrations{Seq: w.seq, Registrations: r.Registrations})
}

// RegistrationsPersisted confirms the writes up to a sequence number, or drops them if
// they failed. Other instances or a later call may then still confirm.
func (s *State) RegistrationsPersisted(b event.RegistrationsPersisted, out *event.Effects) {
	for len(s.diskWrites) > 0 && s.diskWrites[0].seq <= b.Seq {
		w := s.diskWrites[0]
		s.diskWrites = s.diskWrites[1:]
		if b.Failure == "" {
			s.confirmWrite(w, out)
		}
	}
}

// confirmWrite tells the instance that waits for a write that this one stores the
// records.
func (s *State) confirmWrite(w diskWrite, out *event.Effects) {
	if w.peer != "" {
		out.Add(event.Send{To: w.peer, Message: &message.RecordsAck{AckID: w.ackID}})
		return
	}
	s.stored(w.ackID, s.self.ID)
}

// stored counts an instance that stores the records of a confirmation.
func (s *State) stored(ackID uint64, at model.InstanceID) {
	if c := s.pending[ackID]; c != nil {
		c.storedAt[at] = true
		s.checkConfirmation(ackID, c)
	}
}

// checkConfirmation ends a confirmation successfully once enough control
// instances have stored the records.
func (s *State) checkConfirmation(ackID uint64, c *pendingConfirmation) {
	if len(c.storedAt) >= c.needed {
		delete(s.pending, ackID)
		s.confirmations = append(s.confirmations, Confirmation{Token: c.token, OK: true})
	}
}

// TakeConfirmations returns the confirmations that ended since the last call.
func (s *State) TakeConfirmations() []Confirmation {
	list := s.confirmations
	s.confirmations = nil
	return list
}

// receiveHeartbeat updates the state of a peer. It pulls records from the peer
// if the digests of the two instances differ and a push in transit is unlikely
// to be the reason.
func (s *State) receiveHeartbeat(at model.Time, p *Peer, m *message.PeerHeartbeat, out *event.Effects) {
	if !s.isAlive(p) || p.Control != m.Control || p.Ready != m.Ready {
		s.entryRevision++
	}
	p.LastHeartbeat, p.Intervals = at, m.Intervals
	s.checkOutbound(at, p, m.NotHeard, out)
	s.connectToUnknown(m.Addresses, out)
	roleChanged := p.Control != m.Control
	if roleChanged && m.Control {
		s.addressRevision++
	}
	p.Control, p.Ready, p.subscribed, p.ReadyEntryInstances = m.Control, m.Ready, m.Subscribe, m.ReadyEntryInstances
	p.Lagging, p.LeaderTerm = m.Lagging, m.LeaderTerm
	s.sendHeartbeats(s.updateSubscriptions(), out)
	if !s.self.Control && !p.Control {
		return
	}
	if m.Digest == s.store.Digest() {
		p.mismatches, p.mayHaveMissed = 0, false
		s.synced = s.synced || m.HasConfig && s.maySyncWith(p)
		return
	}
	p.mismatches++
	pushMayArrive := p.mismatches < mismatchesBeforePull && s.synced && !roleChanged && !p.mayHaveMissed
	if pushMayArrive || at < s.lastPull.Add(pullInterval) || !s.mayPullFrom(p) || s.hasOlderPull(p) {
		return
	}
	s.lastPull, p.pulledAt, p.pullWasEmpty, p.mayHaveMissed = at, at, true, false
	out.Add(event.Send{To: p.ID, Message: &message.Pull{Versions: s.store.Versions()}})
}

// checkOutbound opens the connection to a peer again if the peer says repeatedly that it
// hears nothing from this instance. Pings do not show this as long as the heartbeats of
// the peer arrive on its own connection.
func (s *State) checkOutbound(at model.Time, p *Peer, notHeard bool, out *event.Effects) {
	switch {
	case !notHeard:
		p.notHeardSince = 0
	case p.notHeardSince == 0:
		p.notHeardSince = at
	case at >= p.notHeardSince.Add(minNotHeardTime):
		p.notHeardSince = 0
		out.Add(event.Log{Code: logevent.PeerNotReached, Fields: []logevent.Field{logevent.F("peer", p.ID)}})
		out.Add(event.Reconnect{Peer: p.ID})
	}
}

// maySyncWith reports whether this instance counts as synced once it has the
// records of the peer. A lagging control instance may lack changes; it is accepted
// if no current one is known, for example while the control group elects a leader
// after all instances were restarted.
func (s *State) maySyncWith(p *Peer) bool {
	if !p.Control || !p.Lagging {
		return p.Control
	}
	for _, other := range s.peers {
		if other.Control && !other.Lagging && s.isAlive(other) {
			return false
		}
	}
	return true
}

// hasOlderPull reports whether records should rather be pulled from another peer
// whose digest differs too, because the last pull from this one brought nothing and
// the other was asked longer ago. Otherwise a peer that lacks the same records
// could take every pull.
func (s *State) hasOlderPull(p *Peer) bool {
	if !p.pullWasEmpty {
		return false
	}
	for _, other := range s.peers {
		if other.pulledAt < p.pulledAt && other.mismatches >= mismatchesBeforePull && s.isAlive(other) && s.mayPullFrom(other) {
			return true
		}
	}
	return false
}

// isAlive reports whether the peer counts as alive.
func (s *State) isAlive(p *Peer) bool { return p.isAlive(s.latest) }

// isAlive reports whether a heartbeat of the peer arrived within AliveTimeout, or
// within a correspondingly longer time if the peer sends them less often.
func (p *Peer) isAlive(at model.Time) bool {
	slower := time.Duration(min(max(p.Intervals, 1), maxIntervals)-1) * 3 * HeartbeatInterval
	return at <= p.LastHeartbeat.Add(AliveTimeout+slower)
}

// mayPullFrom reports whether this instance may pull records from the peer. A
// control instance may pull from any peer. An entry instance pulls from the
// control instances to which it subscribes. If both of these lack a change, the
// digests of the other control instances differ from the entry instance's
// digest in several consecutive heartbeats, and the entry instance pulls from
// one of them.
func (s *State) mayPullFrom(p *Peer) bool {
	return s.self.Control || p.subscribedTo || p.mismatches > mismatchesBeforePull
}

// NextWake returns the time at which Wake must be called.
func (s *State) NextWake() model.Time {
	next := s.nextHeartbeat
	if s.batchAt != 0 {
		next = min(next, s.batchAt)
	}
	for _, c := range s.pending {
		next = min(next, c.deadline)
	}
	return next
}

// Wake sends the batch of changed records and the heartbeats that are due, and
// fails the confirmations whose deadline has been reached.
func (s *State) Wake(at model.Time, out *event.Effects) {
	s.sendBatch(at, out)
	s.failConfirmations(at)
	if at < s.nextHeartbeat {
		return
	}
	s.latest = at
	s.nextHeartbeat = at.Add(HeartbeatInterval)
	s.updateSubscriptions()
	s.logSubscriptions(out)
	s.sendDueHeartbeats(out)
}

// failConfirmations fails the confirmations whose deadline has been reached.
func (s *State) failConfirmations(at model.Time) {
	for _, ack := range sortedKeys(s.pending) {
		if c := s.pending[ack]; at >= c.deadline {
			delete(s.pending, ack)
			s.confirmations = append(s.confirmations, Confirmation{Token: c.token})
		}
	}
}

// logSubscriptions logs the control instances to which this instance subscribes
// if they are not those that were logged last.
func (s *State) logSubscriptions(out *event.Effects) {
	var list []model.InstanceID
	for _, p := range s.sorted {
		if p.subscribedTo {
			list = append(list, p.ID)
		}
	}
	if !slices.Equal(list, s.loggedSubscriptions) {
		s.loggedSubscriptions = list
		out.Add(event.Log{Code: logevent.SubscriptionsChanged, Fields: []logevent.Field{logevent.F("peers", list)}})
	}
}

// SendHeartbeats sends a heartbeat to each peer.
func (s *State) SendHeartbeats(out *event.Effects) { s.sendHeartbeats(s.sorted, out) }

// sendDueHeartbeats sends a heartbeat to each peer to which one is due.
func (s *State) sendDueHeartbeats(out *event.Effects) {
	var due []*Peer
	for _, p := range s.sorted {
		p.intervalsPassed++
		if p.intervalsPassed >= s.intervalsTo(p) {
			due = append(due, p)
		}
	}
	s.sendHeartbeats(due, out)
}

// intervalsTo returns the number of heartbeat intervals between two heartbeats to
// the peer.
func (s *State) intervalsTo(p *Peer) int {
	if s.self.Control == p.Control || p.subscribed || p.subscribedTo {
		return 1
	}
	control := 0
	for _, other := range s.sorted {
		if other.Control {
			control++
		}
	}
	return min(maxIntervals, (control+fullRatePeers-1)/fullRatePeers)
}

// heartbeatVariant identifies the contents in which heartbeats sent at the same time
// differ.
type heartbeatVariant struct {
	subscribe, addresses, notHeard bool
	intervals                      int
}

// sendHeartbeats sends a heartbeat to each of the peers. Peers that receive the same
// content receive one message in a row, since such a message is encoded once.
func (s *State) sendHeartbeats(peers []*Peer, out *event.Effects) {
	var order []heartbeatVariant
	receivers := map[heartbeatVariant][]*Peer{}
	for _, p := range peers {
		v := heartbeatVariant{subscribe: p.subscribedTo, intervals: s.intervalsTo(p), notHeard: !s.isAlive(p)}
		if s.self.Control && (p.heartbeatsSent%addressPeriod == 0 || p.addressesSent != s.addressRevision) {
			v.addresses, p.addressesSent = true, s.addressRevision
		}
		p.heartbeatsSent++
		p.intervalsPassed = 0
		if receivers[v] == nil {
			order = append(order, v)
		}
		receivers[v] = append(receivers[v], p)
	}
	for _, v := range order {
		m := s.heartbeat(v)
		for _, p := range receivers[v] {
			out.Add(event.Send{To: p.ID, Message: m})
		}
	}
}

// heartbeat returns the heartbeat of this instance.
func (s *State) heartbeat(v heartbeatVariant) *message.PeerHeartbeat {
	m := &message.PeerHeartbeat{
		Control: s.self.Control, Ready: s.Ready, HasConfig: s.HasConfig, Subscribe: v.subscribe,
		Digest: s.store.Digest(), NotHeard: v.notHeard, ReadyEntryInstances: s.ReadyEntryInstances, Lagging: s.Lagging, LeaderTerm: s.LeaderTerm}
	if v.intervals > 1 {
		m.Intervals = v.intervals
	}
	if v.addresses {
		m.Addresses = s.controlAddresses()
	}
	return m
}

// controlAddresses returns the peer addresses of the connected control
// instances.
func (s *State) controlAddresses() []string {
	var list []string
	for _, p := range s.sorted {
		if p.Control {
			list = append(list, p.PeerAddress)
		}
	}
	return list
}

// connectToUnknown requests a connection to each of the given addresses of
// control instances, unless it has requested one before.
func (s *State) connectToUnknown(addresses []string, out *event.Effects) {
	for _, a := range addresses {
		if !s.connectRequested[a] {
			s.connectRequested[a] = true
			out.Add(event.Connect{Address: a})
		}
	}
}

// updateSubscriptions selects the control instances from which this instance
// receives all changes, if it is an entry instance: the nearest ones that are
// alive and not lagging, or else the nearest that are alive. It returns those that were not
// selected before.
func (s *State) updateSubscriptions() []*Peer {
	if s.self.Control {
		return nil
	}
	var control []*Peer
	for _, p := range s.peers {
		if p.Control {
			control = append(control, p)
		}
	}
	slices.SortFunc(control, func(a, b *Peer) int {
		if s.preferred(a, b) {
			return -1
		}
		return 1
	})
	var added []*Peer
	for i, p := range control {
		selected := i < maxSubscriptions
		if selected && !p.subscribedTo {
			p.mayHaveMissed = true
			added = append(added, p)
		}
		p.subscribedTo = selected
	}
	return added
}

// preferred reports whether this instance rather receives changes from control
// instance a than from control instance b.
func (s *State) preferred(a, b *Peer) bool {
	if aliveA, aliveB := s.isAlive(a), s.isAlive(b); aliveA != aliveB {
		return aliveA
	}
	if a.Lagging != b.Lagging {
		return b.Lagging
	}
	if da, db := s.distance(a.Zone), s.distance(b.Zone); da != db {
		return da < db
	}
	return a.ID < b.ID
}

// distance returns 0 for this instance's own zone, 1 for other zones of its
// region and 2 for other regions.
func (s *State) distance(z model.Zone) int {
	switch {
	case z == s.self.Zone:
		return 0
	case s.self.Regions[z] == s.self.Regions[s.self.Zone]:
		return 1
	}
	return 2
}

// EntryInstances returns the peers that are entry instances, alive and ready.
func (s *State) EntryInstances(at model.Time) []Peer {
	var list []Peer
	for _, p := range s.sorted {
		if !p.Control && p.Ready && p.isAlive(at) {
			list = append(list, *p)
		}
	}
	return list
}

// EntryInstanceCount returns the number of ready entry instances: the largest
// number that any peer reports in its heartbeats.
func (s *State) EntryInstanceCount() int {
	n := 0
	for _, p := range s.peers {
		n = max(n, p.ReadyEntryInstances)
	}
	return n
}

// Leader returns the peer that says that it leads the control group, in the
// highest term, "" if none does.
func (s *State) Leader() model.InstanceID {
	var leader model.InstanceID
	var term uint64
	for _, p := range s.peers {
		if p.LeaderTerm > term && s.isAlive(p) {
			leader, term = p.ID, p.LeaderTerm
		}
	}
	return leader
}

// ControlPeers returns the identifiers of the peers with the control role.
func (s *State) ControlPeers() []model.InstanceID {
	var list []model.InstanceID
	for _, p := range s.sorted {
		if p.Control {
			list = append(list, p.ID)
		}
	}
	return list
}

// Peers returns all peers in the order of their identifiers.
func (s *State) Peers() []Peer {
	var list []Peer
	for _, p := range s.sorted {
		list = append(list, *p)
	}
	return list
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	list := make([]uint64, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}
