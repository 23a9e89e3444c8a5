package replica

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// PulseInterval is the interval of pulses on each link.
	HeartbeatInterval = 500 * time.Millisecond
	// AliveFor is how long an instance counts as alive after its last pulse: three
	// intervals and the delay between regions.
	AliveTimeout = 3*HeartbeatInterval + 200*time.Millisecond
	// differBeforePull is how many pulses in a row must differ before a pull. One
	// difference is usual while a push is on its way.
	mismatchesBeforePull = 2
	// pullInterval bounds the pulls of an instance. The answer to one may hold all
	// records, so there is one at a time.
	pullInterval = time.Second
	// addressEvery is how many pulses pass between two that carry addresses.
	addressPeriod = 3
	// followed is how many control instances forward changes to an entry
	// instance, so that the loss of one delays none.
	subscriptions = 2
)

// Store holds the records.
type Store interface {
	// Digest identifies the records that are held.
	Digest() uint64
	// Versions lists them.
	Versions() []message.RecordVersion
	// Missing returns the records that the list lacks.
	Missing(at model.Time, versions []message.RecordVersion) message.Records
	// Merge keeps what is newer and returns it.
	Merge(at model.Time, r *message.Records) message.Records
}

// Identity is what the sub-reducer needs to know of its instance.
type Identity struct {
	ID      model.InstanceID
	Control bool
	Zone    model.Zone
	Regions map[model.Zone]model.Region
}

// Peer is another instance with a link.
type Peer struct {
	ID          model.InstanceID
	Zone        model.Zone
	Address     string
	PeerAddress string
	// Control says that the peer has the control role.
	Control bool
	// Ready says that the peer takes new connections of clients.
	Ready bool
	// HeardAt is when its last pulse arrived.
	LastHeartbeat model.Time
	// ReadyEntries is the number of ready entry instances that a control peer
	// hears from.
	ReadyEntries int

	subscribed     bool
	heartbeatsSent int
	mismatches     int
}

// State is the sub-reducer.
type State struct {
	self  Identity
	store Store
	peers map[model.InstanceID]*Peer
	// linked holds the addresses that this instance was told to link to.
	connectRequested map[string]bool

	// Ready, Known and ReadyEntries go into the next pulse.
	Ready        bool
	HasConfig    bool
	ReadyEntries int

	nextHeartbeat model.Time
	lastPull      model.Time
	lastAckID     uint64
	pending       map[uint64]*pendingConfirmation
	// confirmed lists the confirmations that ended in this step.
	confirmations []Confirmation
	// fed is set once this instance holds all records of a control instance.
	synced bool
}

// confirmation waits until a majority of the control group holds records.
type pendingConfirmation struct {
	token    uint64
	needed   int
	holders  map[model.InstanceID]bool
	deadline model.Time
}

// Confirmed is the end of a confirmation.
type Confirmation struct {
	Token uint64
	OK    bool
}

// New returns the sub-reducer.
func New(self Identity, store Store) *State {
	return &State{self: self, store: store, peers: map[model.InstanceID]*Peer{}, connectRequested: map[string]bool{}, pending: map[uint64]*pendingConfirmation{}}
}

// Start begins the pulses.
func (s *State) Start(at model.Time) { s.nextHeartbeat = at.Add(HeartbeatInterval) }

// Fed reports whether this instance has held all records of a control instance.
// Single changes may arrive before them.
func (s *State) Synced() bool { return s.synced }

// Connected takes a new link.
func (s *State) Connected(at model.Time, p Peer, out *event.Effects) {
	p.LastHeartbeat = at
	s.peers[p.ID] = &p
	s.sendHeartbeat(&p, out)
}

// Lost takes the end of a link.
func (s *State) Disconnected(id model.InstanceID) { delete(s.peers, id) }

// Receive takes a message of another instance. It reports whether the message
// is of this subject, and what records changed.
func (s *State) Receive(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) (message.Records, bool) {
	p := s.peers[from]
	switch m := m.(type) {
	case *message.Records:
		return s.receiveRecords(at, from, m, out), true
	case *message.RecordsAck:
		s.receiveAck(from, m)
	case *message.Pull:
		r := s.store.Missing(at, m.Held)
		// An instance that has just started may lack all that it will hold.
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

func isEmpty(r *message.Records) bool {
	return len(r.Items) == 0 && len(r.Evacuations) == 0 && len(r.Registrations) == 0
}

func (s *State) receiveRecords(at model.Time, from model.InstanceID, m *message.Records, out *event.Effects) message.Records {
	changed := s.store.Merge(at, m)
	if m.AckID != 0 {
		out.Add(event.Send{To: from, Message: &message.RecordsAck{AckID: m.AckID}})
	}
	if p := s.peers[from]; p != nil && p.Control && m.Complete {
		s.synced = true
	}
	if !isEmpty(&changed) && s.self.Control {
		s.forward(&changed, from, out)
	}
	return changed
}

// forward sends changed records to the entry instances that follow this one.
func (s *State) forward(r *message.Records, except model.InstanceID, out *event.Effects) {
	for _, p := range s.sortedPeers() {
		if p.subscribed && !p.Control && p.ID != except {
			out.Add(event.Send{To: p.ID, Message: r})
		}
	}
}

// Forward sends records that the replicated log changed to the followers of this
// instance.
func (s *State) Forward(r message.Records, out *event.Effects) {
	if !isEmpty(&r) {
		s.forward(&r, s.self.ID, out)
	}
}

// Push sends records that changed here to all linked instances.
func (s *State) Push(r message.Records, out *event.Effects) {
	for _, p := range s.sortedPeers() {
		out.Add(event.Send{To: p.ID, Message: &r})
	}
}

// Confirm sends records to all linked instances and reports with the token, from
// Take, when so many control instances hold them, this one included.
func (s *State) Confirm(token uint64, r message.Records, needed int, deadline model.Time, out *event.Effects) {
	s.lastAckID++
	c := &pendingConfirmation{token: token, needed: needed, holders: map[model.InstanceID]bool{s.self.ID: true}, deadline: deadline}
	s.pending[s.lastAckID] = c
	withAckID := r
	withAckID.AckID = s.lastAckID
	for _, p := range s.sortedPeers() {
		if p.Control {
			out.Add(event.Send{To: p.ID, Message: &withAckID})
		} else {
			out.Add(event.Send{To: p.ID, Message: &r})
		}
	}
	s.checkConfirmation(s.lastAckID, c)
}

func (s *State) receiveAck(from model.InstanceID, m *message.RecordsAck) {
	if c := s.pending[m.AckID]; c != nil {
		c.holders[from] = true
		s.checkConfirmation(m.AckID, c)
	}
}

func (s *State) checkConfirmation(ack uint64, c *pendingConfirmation) {
	if len(c.holders) >= c.needed {
		delete(s.pending, ack)
		s.confirmations = append(s.confirmations, Confirmation{Token: c.token, OK: true})
	}
}

// Take returns the confirmations that ended since the last call.
func (s *State) TakeConfirmations() []Confirmation {
	list := s.confirmations
	s.confirmations = nil
	return list
}

func (s *State) receiveHeartbeat(at model.Time, p *Peer, m *message.PeerHeartbeat, out *event.Effects) {
	p.LastHeartbeat = at
	s.connectToNew(m.Addresses, out)
	roleChanged := p.Control != m.Control
	p.Control, p.Ready, p.subscribed, p.ReadyEntries = m.Control, m.Ready, m.Subscribe, m.ReadyEntries
	if !s.self.Control && !p.Control {
		return
	}
	if m.Digest == s.store.Digest() {
		p.mismatches = 0
		s.synced = s.synced || p.Control && m.HasConfig
		return
	}
	p.mismatches++
	pushMayArrive := p.mismatches < mismatchesBeforePull && s.synced && !roleChanged
	if pushMayArrive || at < s.lastPull.Add(pullInterval) || !s.mayPullFrom(p) {
		return
	}
	s.lastPull = at
	out.Add(event.Send{To: p.ID, Message: &message.Pull{Held: s.store.Versions()}})
}

// pullsFrom reports whether this instance takes what it lacks from the peer.
// Entry instances take it from those they follow. If these lag behind the
// others, the difference from the others lasts.
func (s *State) mayPullFrom(p *Peer) bool {
	return s.self.Control || s.subscribesTo(p) || p.mismatches > mismatchesBeforePull
}

// NextWake returns when Wake must be called.
func (s *State) NextWake() model.Time { return s.nextHeartbeat }

// Wake sends the pulses that are due and ends confirmations that took too long.
func (s *State) Wake(at model.Time, out *event.Effects) {
	if at < s.nextHeartbeat {
		return
	}
	s.nextHeartbeat = at.Add(HeartbeatInterval)
	s.SendHeartbeats(out)
	for _, ack := range sortedKeys(s.pending) {
		if c := s.pending[ack]; at >= c.deadline {
			delete(s.pending, ack)
			s.confirmations = append(s.confirmations, Confirmation{Token: c.token})
		}
	}
}

// PulseAll sends a pulse on every link.
func (s *State) SendHeartbeats(out *event.Effects) {
	for _, p := range s.sortedPeers() {
		s.sendHeartbeat(p, out)
	}
}

func (s *State) sendHeartbeat(p *Peer, out *event.Effects) {
	m := &message.PeerHeartbeat{
		Control: s.self.Control, Ready: s.Ready, HasConfig: s.HasConfig, Subscribe: s.subscribesTo(p),
		Digest: s.store.Digest(), ReadyEntries: s.ReadyEntries}
	if s.self.Control && p.heartbeatsSent%addressPeriod == 0 {
		m.Addresses = s.controlAddresses()
	}
	p.heartbeatsSent++
	out.Add(event.Send{To: p.ID, Message: m})
}

// controlAddresses returns the link addresses of the control instances, this one
// excepted.
func (s *State) controlAddresses() []string {
	var list []string
	for _, p := range s.sortedPeers() {
		if p.Control {
			list = append(list, p.PeerAddress)
		}
	}
	return list
}

// connectNew links this instance to control instances that it is told of.
func (s *State) connectToNew(addresses []string, out *event.Effects) {
	for _, a := range addresses {
		if !s.connectRequested[a] {
			s.connectRequested[a] = true
			out.Add(event.Connect{Address: a})
		}
	}
}

// followsPeer reports whether this entry instance takes its changes from the
// peer: the nearest control instances do.
func (s *State) subscribesTo(p *Peer) bool {
	if s.self.Control || !p.Control {
		return false
	}
	nearer := 0
	for _, other := range s.peers {
		if other.Control && other.ID != p.ID && s.nearer(other, p) {
			nearer++
		}
	}
	return nearer < subscriptions
}

func (s *State) nearer(a, b *Peer) bool {
	if da, db := s.distance(a.Zone), s.distance(b.Zone); da != db {
		return da < db
	}
	return a.ID < b.ID
}

func (s *State) distance(z model.Zone) int {
	switch {
	case z == s.self.Zone:
		return 0
	case s.self.Regions[z] == s.self.Regions[s.self.Zone]:
		return 1
	}
	return 2
}

// Entries returns the entry instances that are alive and ready.
func (s *State) Entries(at model.Time) []Peer {
	var list []Peer
	for _, p := range s.sortedPeers() {
		if !p.Control && p.Ready && at <= p.LastHeartbeat.Add(AliveTimeout) {
			list = append(list, *p)
		}
	}
	return list
}

// EntryCount returns the largest number of ready entry instances that a control
// instance reports.
func (s *State) EntryCount() int {
	n := 0
	for _, p := range s.peers {
		n = max(n, p.ReadyEntries)
	}
	return n
}

// ControlPeers returns the linked instances with the control role.
func (s *State) ControlPeers() []model.InstanceID {
	var list []model.InstanceID
	for _, p := range s.sortedPeers() {
		if p.Control {
			list = append(list, p.ID)
		}
	}
	return list
}

// Peers returns all linked instances.
func (s *State) Peers() []Peer {
	var list []Peer
	for _, p := range s.sortedPeers() {
		list = append(list, *p)
	}
	return list
}

func (s *State) sortedPeers() []*Peer {
	list := make([]*Peer, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
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
