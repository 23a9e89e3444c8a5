package fleet

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// records implements replica.Store with the records of the catalog and the
// registry.
type records struct {
	state *State
	// itemChanges counts the changes of items and evacuations.
	itemChanges uint64
	// itemDigest is the cached digest of items and evacuations. It was computed for
	// the value digestItemChanges of itemChanges.
	itemDigest        uint64
	digestItemChanges uint64
}

func itemVersion(i *model.Item) message.RecordVersion {
	return message.RecordVersion{Key: message.RecordKey('i', i.Key.Kind.String(), i.Key.Name), Version: uint64(i.Version)}
}

func evacuationVersion(e *model.Evacuation) message.RecordVersion {
	return message.RecordVersion{Key: message.RecordKey('e', string(e.Zone)), Version: e.Position}
}

// itemVersions returns the versions of the items and evacuations.
func (r *records) itemVersions() []message.RecordVersion {
	var list []message.RecordVersion
	items := r.state.catalog.Snapshot()
	for i := range items.Items {
		list = append(list, itemVersion(&items.Items[i]))
	}
	for i := range items.Evacuations {
		list = append(list, evacuationVersion(&items.Evacuations[i]))
	}
	return list
}

// Versions implements replica.Store.
func (r *records) Versions() []message.RecordVersion {
	list := r.itemVersions()
	regs := r.state.registry.Registrations(0)
	for i := range regs {
		list = append(list, message.RegistrationVersion(&regs[i]))
	}
	return list
}

// Digest implements replica.Store.
func (r *records) Digest() uint64 {
	if r.digestItemChanges != r.itemChanges {
		r.itemDigest, r.digestItemChanges = 0, r.itemChanges
		for _, v := range r.itemVersions() {
			r.itemDigest ^= v.Hash()
		}
	}
	return r.itemDigest ^ r.state.registry.Digest()
}

// Missing implements replica.Store.
func (r *records) Missing(at model.Time, peerVersions []message.RecordVersion) message.Records {
	versions := make(map[uint64]uint64, len(peerVersions))
	for _, v := range peerVersions {
		versions[v.Key] = v.Version
	}
	isMissing := func(v message.RecordVersion) bool {
		version, ok := versions[v.Key]
		return !ok || version != v.Version
	}
	var m message.Records
	items := r.state.catalog.Snapshot()
	if r.state.identity.Control {
		for _, i := range items.Items {
			if isMissing(itemVersion(&i)) {
				m.Items = append(m.Items, withoutDocument(i))
			}
		}
	}
	for _, e := range items.Evacuations {
		if isMissing(evacuationVersion(&e)) {
			m.Evacuations = append(m.Evacuations, e)
		}
	}
	for _, reg := range r.state.registry.Registrations(at) {
		if isMissing(message.RegistrationVersion(&reg)) {
			m.Registrations = append(m.Registrations, reg)
		}
	}
	return m
}

// withoutDocument returns the item without its document. Entry instances do not
// need documents, because they do not answer reads of items.
func withoutDocument(i model.Item) model.Item {
	i.Document = nil
	return i
}

// recordsForEntryInstances returns changed items and evacuations as they are
// sent to entry instances: without documents.
func recordsForEntryInstances(items []model.Item, evacuations []model.Evacuation) message.Records {
	r := message.Records{Evacuations: evacuations}
	for _, i := range items {
		r.Items = append(r.Items, withoutDocument(i))
	}
	return r
}

// Merge implements replica.Store. Control instances ignore the items and
// evacuations of m, because they receive both from the replicated log.
func (r *records) Merge(at model.Time, m *message.Records) message.Records {
	var changed message.Records
	if !r.state.identity.Control {
		for _, i := range m.Items {
			if r.state.catalog.Merge(i) {
				changed.Items = append(changed.Items, i)
			}
		}
		for _, e := range m.Evacuations {
			if r.state.catalog.MergeEvacuation(e) {
				changed.Evacuations = append(changed.Evacuations, e)
			}
		}
	}
	for _, reg := range m.Registrations {
		if r.state.registry.Merge(at, reg) {
			changed.Registrations = append(changed.Registrations, reg)
		}
	}
	return changed
}

// recordsMerged logs the records that another instance sent and that changed
// the state of this instance. It also counts a change of items or evacuations.
func (s *State) recordsMerged(at model.Time, m *message.Records) {
	if len(m.Items) > 0 || len(m.Evacuations) > 0 {
		s.records.itemChanges++
		s.logConfigInForce(m.Items, m.Evacuations)
	}
	for i := range m.Registrations {
		s.logRegistration(&m.Registrations[i])
		s.logIfInvalid(&m.Registrations[i])
	}
}

// logIfInvalid logs a registration that is stored but not used, because it
// contains an invalid value.
func (s *State) logIfInvalid(r *model.Registration) {
	if e := s.registry.Get(r.ID); e != nil && e.Invalid {
		s.out.Add(event.Log{Code: logevent.RecordInvalid, Fields: []logevent.Field{
			logevent.F("upstream", r.ID), logevent.F("address", r.Address), logevent.F("slots", r.Slots),
			logevent.F("born", r.StartTimeMs), logevent.F("sequence", r.Sequence)}})
	}
}

// logUndecodable logs that a message contains records that cannot be decoded.
func (s *State) logUndecodable(b event.PeerReceived) {
	if m, ok := b.Message.(*message.Records); ok && m.Undecodable > 0 {
		s.out.Add(event.Log{Code: logevent.RecordInvalid, Fields: []logevent.Field{
			logevent.F("peer", b.From), logevent.F("undecodable", m.Undecodable)}})
	}
}

// maxItemLogLines is the largest number of items of a change that are logged
// one by one. Of a larger change, which can have thousands of items, only the
// first item and the number of items are logged.
const maxItemLogLines = 20

func (s *State) logConfigInForce(items []model.Item, evacuations []model.Evacuation) {
	if len(items) > maxItemLogLines {
		s.out.Add(event.Log{Code: logevent.ConfigInForce, Fields: []logevent.Field{
			logevent.F("items", len(items)), logevent.F("first", items[0].Key.Name), logevent.F("version", items[0].Version)}})
		items = nil
	}
	for i := range items {
		s.out.Add(event.Log{Code: logevent.ConfigInForce, Fields: []logevent.Field{
			logevent.F("item", items[i].Key.Name), logevent.F("kind", items[i].Key.Kind.String()),
			logevent.F("version", items[i].Version), logevent.F("removed", items[i].Removed)}})
	}
	for _, e := range evacuations {
		s.out.Add(event.Log{Code: logevent.ConfigInForce, Fields: []logevent.Field{
			logevent.F("kind", "evacuation"), logevent.F("zone", e.Zone), logevent.F("active", e.Active), logevent.F("version", e.Position)}})
	}
}

func (s *State) logRegistration(r *model.Registration) {
	code := logevent.UpstreamRegistered
	switch r.State {
	case model.RegistrationDraining:
		code = logevent.UpstreamDraining
	case model.RegistrationDeregistered:
		code = logevent.UpstreamLeft
	}
	s.out.Add(event.Log{Code: code, Fields: []logevent.Field{
		logevent.F("upstream", r.ID), logevent.F("service", r.Service), logevent.F("address", r.Address),
		logevent.F("zone", r.Zone), logevent.F("born", r.StartTimeMs), logevent.F("sequence", r.Sequence)}})
}
