package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/replica"
)

const start = model.Time(1000 * time.Second)

var regions = map[model.Zone]model.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

// store is a replica.Store that holds evacuations only. For each evacuated
// zone, it holds the log position of the evacuation.
type store map[model.Zone]uint64

func (s store) Digest() uint64 {
	var d uint64
	for zone, position := range s {
		d ^= uint64(len(zone))*31 + uint64(zone[len(zone)-1])<<20 + position
	}
	return d
}

func (s store) Versions() []message.RecordVersion {
	var list []message.RecordVersion
	for zone, position := range s {
		list = append(list, message.RecordVersion{Key: uint64(zone[len(zone)-1]), Version: position})
	}
	return list
}

func (s store) Missing(_ model.Time, peerVersions []message.RecordVersion) message.Records {
	versions := map[uint64]uint64{}
	for _, v := range peerVersions {
		versions[v.Key] = v.Version
	}
	var r message.Records
	for zone, position := range s {
		if versions[uint64(zone[len(zone)-1])] != position {
			r.Evacuations = append(r.Evacuations, model.Evacuation{Zone: zone, Position: position})
		}
	}
	return r
}

func (s store) Merge(_ model.Time, r *message.Records) message.Records {
	var changed message.Records
	for _, e := range r.Evacuations {
		if s[e.Zone] < e.Position {
			s[e.Zone] = e.Position
			changed.Evacuations = append(changed.Evacuations, e)
		}
	}
	return changed
}

// takeSends returns the sent messages by receiver and removes all effects.
func takeSends(out *event.Effects) map[model.InstanceID][]message.Message {
	list := map[model.InstanceID][]message.Message{}
	for _, e := range out.List() {
		if s, ok := e.(event.Send); ok {
			list[s.To] = append(list[s.To], s.Message)
		}
	}
	out.Reset()
	return list
}

// newEntryInstance returns an entry instance in zone a1 that is connected to a
// control instance in each zone.
func newEntryInstance(s store) (*replica.State, *event.Effects) {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "e", Zone: "a1", Regions: regions}, s)
	r.Start(start)
	for _, zone := range []model.Zone{"c1", "b1", "a2", "a1"} {
		id := model.InstanceID("core-" + zone)
		r.PeerConnected(start, replica.Peer{ID: id, Zone: zone, PeerAddress: string(id)}, &out)
		r.Receive(start, id, &message.PeerHeartbeat{Control: true, Digest: s.Digest()}, &out)
	}
	out.Reset()
	return r, &out
}

// Guards against entry instances that receive changes from distant control
// instances, or from all control instances at once.
var _ = It("entry instance subscribes to the two nearest control instances", func() {
	r, out := newEntryInstance(store{})
	r.SendHeartbeats(out)
	subscribes := map[model.InstanceID]bool{}
	for id, list := range takeSends(out) {
		subscribes[id] = list[0].(*message.PeerHeartbeat).Subscribe
	}
	Expect(subscribes).To(Equal(map[model.InstanceID]bool{"core-a1": true, "core-a2": true, "core-b1": false, "core-c1": false}))
	r.PeerLost("core-a1")
	r.SendHeartbeats(out)
	Expect(takeSends(out)["core-b1"][0].(*message.PeerHeartbeat).Subscribe).To(BeTrue())
})

// Guards against an instance that never receives a record because the push was
// lost. Also guards against pulling all records from many instances at once,
// which takes long at a low network bandwidth.
var _ = It("if the digests in heartbeats differ, records are pulled from one subscribed instance", func() {
	r, out := newEntryInstance(store{"z1": 1})
	pulls := 0
	for n := range 4 {
		at := start.Add(model.Duration(n) * replica.HeartbeatInterval / 4)
		for _, zone := range []string{"a1", "a2", "b1", "c1"} {
			r.Receive(at, model.InstanceID("core-"+zone), &message.PeerHeartbeat{Control: true, Digest: 99}, out)
		}
		for id, list := range takeSends(out) {
			Expect(string(id)).To(HavePrefix("core-a"))
			Expect(list[0].(*message.Pull).Versions).To(HaveLen(1))
			pulls++
		}
	}
	Expect(pulls).To(Equal(1))
	changed, ok := r.Receive(start.Add(time.Second), "core-a1", &message.Records{Evacuations: []model.Evacuation{{Zone: "z2", Position: 4}}}, out)
	Expect(ok).To(BeTrue())
	Expect(changed.Evacuations).To(HaveLen(1))
})

// Guards against an instance that is starting, asks an instance that lacks the same
// records, and waits for further records from the one that has them.
var _ = It("the next pull goes to another instance only if the last one brought nothing", func() {
	for _, brings := range []bool{false, true} {
		r, out := newEntryInstance(store{"z1": 1})
		asked := map[model.InstanceID]int{}
		for n := range 12 {
			at := start.Add(model.Duration(n+1) * replica.HeartbeatInterval)
			r.Receive(at, "core-a1", &message.PeerHeartbeat{Control: true, Digest: 99}, out)
			r.Receive(at, "core-a2", &message.PeerHeartbeat{Control: true, Digest: 99}, out)
			for id := range takeSends(out) {
				asked[id]++
				reply := &message.Records{Complete: true}
				if brings {
					reply.Evacuations = []model.Evacuation{{Zone: "z2", Position: uint64(n + 1)}}
				}
				r.Receive(at, id, reply, out)
				out.Reset()
			}
		}
		if brings {
			Expect(asked).To(HaveLen(1))
		} else {
			Expect(asked).To(HaveLen(2))
		}
	}
})

// Guards against an entry instance that counts as synced, and so serves
// requests, although it has received only a single forwarded change.
var _ = It("instance is synced only after a complete reply, not after a single change", func() {
	var out event.Effects
	s := store{}
	r := replica.New(replica.Identity{ID: "e", Zone: "a1", Regions: regions}, s)
	r.PeerConnected(start, replica.Peer{ID: "core-a1", Zone: "a1"}, &out)
	r.Receive(start, "core-a1", &message.PeerHeartbeat{Control: true, Digest: s.Digest()}, &out)
	r.Receive(start, "core-a1", &message.Records{Evacuations: []model.Evacuation{{Zone: "z1", Position: 1}}}, &out)
	Expect(r.Synced()).To(BeFalse())
	r.Receive(start, "core-a1", &message.Records{Complete: true}, &out)
	Expect(r.Synced()).To(BeTrue())
})

// Guards against an entry instance that counts as synced after a pull from a
// control instance that has not read its log yet and so lacks records itself.
var _ = It("instance without a configuration does not mark its reply to a pull as complete", func() {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "core-x", Control: true, Zone: "a1", Regions: regions}, store{})
	r.PeerConnected(start, replica.Peer{ID: "e", Zone: "a1"}, &out)
	for _, hasConfig := range []bool{false, true} {
		out.Reset()
		r.HasConfig = hasConfig
		r.Receive(start, "e", &message.Pull{}, &out)
		Expect(takeSends(&out)["e"][0].(*message.Records).Complete).To(Equal(hasConfig))
	}
})

// Guards against a confirmation that counts repeated acknowledgements of one
// control instance as a majority. Also guards against a confirmation that stays
// pending after its deadline.
var _ = It("confirmation counts each control instance once and fails after its deadline", func() {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "core-x", Control: true, Zone: "a1", Regions: regions}, store{})
	r.Start(start)
	for n := range 4 {
		id := model.InstanceID(fmt.Sprint("core-", n))
		r.PeerConnected(start, replica.Peer{ID: id, Zone: "b1"}, &out)
		r.Receive(start, id, &message.PeerHeartbeat{Control: true}, &out)
	}
	out.Reset()
	for token := range uint64(2) {
		r.Confirm(token+1, message.Records{}, 3, start.Add(900*time.Millisecond), &out)
	}
	var ackIDs []uint64
	for _, m := range takeSends(&out)["core-0"] {
		ackIDs = append(ackIDs, m.(*message.Records).AckID)
	}
	for range 3 {
		r.Receive(start, "core-0", &message.RecordsAck{AckID: ackIDs[0]}, &out)
	}
	Expect(r.TakeConfirmations()).To(BeEmpty())
	r.Receive(start, "core-1", &message.RecordsAck{AckID: ackIDs[0]}, &out)
	Expect(r.TakeConfirmations()).To(Equal([]replica.Confirmation{{Token: 1, OK: true}}))
	r.Wake(start.Add(2*time.Second), &out)
	Expect(r.TakeConfirmations()).To(Equal([]replica.Confirmation{{Token: 2}}))
})

// Guards against lookups that send clients to entry instances that are lost.
var _ = It("entry instance is not returned if its last heartbeat is older than AliveTimeout", func() {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "core-x", Control: true, Zone: "a1", Regions: regions}, store{})
	r.PeerConnected(start, replica.Peer{ID: "e", Zone: "a1", Address: "front"}, &out)
	Expect(r.EntryInstances(start)).To(BeEmpty())
	r.Receive(start, "e", &message.PeerHeartbeat{Ready: true}, &out)
	Expect(r.EntryInstances(start.Add(replica.AliveTimeout))).To(HaveLen(1))
	Expect(r.EntryInstances(start.Add(replica.AliveTimeout + 1))).To(BeEmpty())
})

// Guards against instances that never connect to a control instance that was
// added later.
var _ = It("instance connects once to each control instance whose address a heartbeat carries", func() {
	r, out := newEntryInstance(store{})
	for range 2 {
		r.Receive(start, "core-a1", &message.PeerHeartbeat{Control: true, Addresses: []string{"new"}}, out)
	}
	connectCount := 0
	for _, e := range out.List() {
		if c, ok := e.(event.Connect); ok && c.Address == "new" {
			connectCount++
		}
	}
	Expect(connectCount).To(Equal(1))
})

// Guards against an entry instance that does not receive a change because both
// control instances to which it subscribes lack the change. A change must be in
// force at all instances within two seconds.
var _ = It("change is pulled from other control instances if the subscribed ones lack it", func() {
	r, out := newEntryInstance(store{"z1": 1})
	digest := store{"z1": 1}.Digest()
	var pulled time.Duration
	for n := 1; pulled == 0 && n < 20; n++ {
		at := start.Add(model.Duration(n) * replica.HeartbeatInterval)
		for _, zone := range []string{"a1", "a2"} {
			r.Receive(at, model.InstanceID("core-"+zone), &message.PeerHeartbeat{Control: true, Digest: digest}, out)
		}
		for _, zone := range []string{"b1", "c1"} {
			r.Receive(at, model.InstanceID("core-"+zone), &message.PeerHeartbeat{Control: true, Digest: 99}, out)
		}
		if len(takeSends(out)) > 0 {
			pulled = at.Sub(start)
		}
	}
	Expect(pulled).To(BeNumerically(">", 0))
	Expect(pulled).To(BeNumerically("<=", 2*time.Second-replica.HeartbeatInterval))
})

// Guards against an entry instance that receives its changes from control
// instances that no longer receive them, or that counts as synced with one.
var _ = It("entry instance avoids lagging and silent control instances", func() {
	r, out := newEntryInstance(store{})
	subscriptions := func() []string {
		out.Reset()
		r.SendHeartbeats(out)
		var list []string
		for id, sent := range takeSends(out) {
			if sent[0].(*message.PeerHeartbeat).Subscribe {
				list = append(list, string(id))
			}
		}
		return list
	}
	heartbeat := func(at model.Time, lagging bool, ids ...model.InstanceID) {
		for _, id := range ids {
			r.Receive(at, id, &message.PeerHeartbeat{Control: true, Lagging: lagging}, out)
		}
	}
	heartbeat(start, true, "core-a1")
	Expect(subscriptions()).To(ConsistOf("core-a2", "core-b1"))
	silent := start.Add(replica.AliveTimeout + 1)
	heartbeat(silent, false, "core-a1", "core-b1", "core-c1")
	Expect(subscriptions()).To(ConsistOf("core-a1", "core-b1"))
	heartbeat(silent, true, "core-a1", "core-b1", "core-c1")
	Expect(subscriptions()).To(ConsistOf("core-a1", "core-b1"), "the nearest if all are lagging")
})

// Guards against serving requests with the routes of a control instance that
// lacks changes while another one has them, and against refusing all requests
// while none is current.
var _ = It("instance that starts is synced with a lagging control instance only if it knows no current one", func() {
	for _, otherIsLagging := range []bool{false, true} {
		var out event.Effects
		s := store{}
		r := replica.New(replica.Identity{ID: "e", Zone: "a1", Regions: regions}, s)
		r.Start(start)
		for _, id := range []model.InstanceID{"core-a1", "core-b1"} {
			r.PeerConnected(start, replica.Peer{ID: id, Zone: "a1"}, &out)
		}
		r.Receive(start, "core-b1", &message.PeerHeartbeat{Control: true, HasConfig: true, Lagging: otherIsLagging, Digest: 99}, &out)
		r.Receive(start, "core-a1", &message.PeerHeartbeat{Control: true, HasConfig: true, Lagging: true, Digest: s.Digest()}, &out)
		r.Receive(start, "core-a1", &message.Records{Complete: true}, &out)
		Expect(r.Synced()).To(Equal(otherIsLagging))
	}
})

// Guards against an instance that always pulls from the same peer, which lacks
// the same records as itself.
var _ = It("pulls go to the peers with different digests in turn", func() {
	r, out := newEntryInstance(store{"z1": 1})
	pulled := map[model.InstanceID]int{}
	for n := 1; n <= 12; n++ {
		at := start.Add(model.Duration(n) * replica.HeartbeatInterval)
		for _, id := range []model.InstanceID{"core-a1", "core-a2", "core-b1", "core-c1"} {
			r.Receive(at, id, &message.PeerHeartbeat{Control: true, Digest: 99}, out)
		}
		for id := range takeSends(out) {
			pulled[id]++
		}
	}
	Expect(pulled).To(HaveLen(4))
})

// newControlInstance returns a control instance that is connected to entry instances,
// all of which subscribe, and to other control instances.
func newControlInstance(entries, control int) (*replica.State, *event.Effects) {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "core", Control: true, Zone: "a1", Regions: regions}, store{})
	r.Start(start)
	for i := range entries + control {
		id := model.InstanceID(fmt.Sprintf("peer-%03d", i))
		r.PeerConnected(start, replica.Peer{ID: id, Zone: "a1", Address: "a", PeerAddress: string(id)}, &out)
		r.Receive(start, id, &message.PeerHeartbeat{Control: i >= entries, Subscribe: i < entries, Ready: true}, &out)
	}
	out.Reset()
	return r, &out
}

// Guards against a message to each subscriber for each of many upstreams that
// register at the same time.
var _ = It("changes that follow each other are sent to subscribers together", func() {
	r, out := newControlInstance(2, 1)
	change := func(at model.Time, position uint64) {
		r.Push(at, message.Records{Evacuations: []model.Evacuation{{Zone: "z", Position: position}}}, out)
	}
	change(start, 1)
	Expect(takeSends(out)).To(HaveLen(3), "the first change is sent at once")
	for position := range uint64(40) {
		change(start.Add(time.Duration(position)*time.Millisecond), position+2)
	}
	sends := takeSends(out)
	Expect(sends).To(HaveLen(1), "only the control instance gets each change at once")
	Expect(sends["peer-002"]).To(HaveLen(40))
	at := r.NextWake()
	Expect(at).To(Equal(start.Add(50 * time.Millisecond)))
	r.Wake(at, out)
	sends = takeSends(out)
	Expect(sends["peer-000"]).To(HaveLen(1))
	Expect(sends["peer-001"][0].(*message.Records).Evacuations).To(HaveLen(40))
	Expect(r.NextWake()).To(BeNumerically(">", at))
})

// Guards against a negative reply to a drain that comes later than upstreams wait for
// it, because it was sent with the next heartbeat only.
var _ = It("confirmation fails at its deadline", func() {
	r, out := newControlInstance(1, 4)
	deadline := start.Add(130 * time.Millisecond)
	r.Confirm(7, message.Records{Evacuations: []model.Evacuation{{Zone: "z", Position: 1}}}, 3, deadline, out)
	Expect(r.NextWake()).To(Equal(deadline))
	r.Wake(deadline, out)
	Expect(r.TakeConfirmations()).To(Equal([]replica.Confirmation{{Token: 7}}))
})

// Guards against encoding a heartbeat for each of many peers that receive the same
// content, and against sending the addresses in each of them.
var _ = It("peers that get the same heartbeat share one message", func() {
	r, out := newControlInstance(30, 3)
	r.Wake(r.NextWake(), out)
	for _, list := range takeSends(out) {
		Expect(list[0].(*message.PeerHeartbeat).Addresses).To(HaveLen(3), "they are new")
	}
	for range 3 {
		r.Wake(r.NextWake(), out)
		messages := map[message.Message]int{}
		for _, list := range takeSends(out) {
			Expect(list).To(HaveLen(1))
			Expect(list[0].(*message.PeerHeartbeat).Addresses).To(BeEmpty())
			messages[list[0]]++
		}
		Expect(messages).To(HaveLen(1))
	}
})

// Guards against a number of heartbeats at an entry instance that grows with the number
// of control instances, and against taking instances that send less often for lost.
var _ = It("heartbeats without a subscription are sent less often with many control instances", func() {
	var out event.Effects
	r := replica.New(replica.Identity{ID: "e", Zone: "a1", Regions: regions}, store{})
	r.Start(start)
	for i := range 27 {
		id := model.InstanceID(fmt.Sprintf("core-%02d", i))
		r.PeerConnected(start, replica.Peer{ID: id, Zone: "b1", PeerAddress: string(id)}, &out)
		r.Receive(start, id, &message.PeerHeartbeat{Control: true, Intervals: 3}, &out)
	}
	out.Reset()
	sent := 0
	for range 12 {
		r.Wake(r.NextWake(), &out)
		for _, list := range takeSends(&out) {
			sent += len(list)
		}
	}
	Expect(sent).To(Equal(2*12 + 25*4))

	control := replica.New(replica.Identity{ID: "core", Control: true, Zone: "a1", Regions: regions}, store{})
	control.Start(start)
	control.PeerConnected(start, replica.Peer{ID: "e", Zone: "a1"}, &out)
	control.Receive(start, "e", &message.PeerHeartbeat{Ready: true, Intervals: 3}, &out)
	Expect(control.EntryInstances(start.Add(3 * time.Second))).To(HaveLen(1))
	Expect(control.EntryInstances(start.Add(5 * time.Second))).To(BeEmpty())
})

// Guards against a connection that is dead in one direction and never noticed, against one
// that is opened again for heartbeats that waited in a queue, and against heartbeats that
// do not say what was not heard.
var _ = It("connection on which the peer hears nothing is opened again", func() {
	r, out := newEntryInstance(store{})
	at := start
	notHeard := func(after time.Duration) int {
		at = at.Add(after)
		r.Receive(at, "core-a1", &message.PeerHeartbeat{Control: true, NotHeard: true}, out)
		n := 0
		for _, e := range out.List() {
			if c, ok := e.(event.Reconnect); ok {
				Expect(c.Peer).To(Equal(model.InstanceID("core-a1")))
				n++
			}
		}
		out.Reset()
		return n
	}
	Expect(notHeard(0)).To(BeZero())
	Expect(notHeard(time.Millisecond)).To(BeZero())
	r.Receive(at, "core-a1", &message.PeerHeartbeat{Control: true}, out)
	Expect(notHeard(replica.HeartbeatInterval)).To(BeZero())
	Expect(notHeard(replica.HeartbeatInterval)).To(Equal(1))
	Expect(notHeard(time.Millisecond)).To(BeZero())

	r.Receive(at.Add(replica.AliveTimeout), "core-b1", &message.PeerHeartbeat{Control: true}, out)
	out.Reset()
	r.Receive(at.Add(replica.AliveTimeout+time.Second), "core-b1", &message.PeerHeartbeat{Control: true}, out)
	out.Reset()
	r.SendHeartbeats(out)
	sent := takeSends(out)
	Expect(sent["core-b1"][0].(*message.PeerHeartbeat).NotHeard).To(BeFalse())
	Expect(sent["core-a1"][0].(*message.PeerHeartbeat).NotHeard).To(BeTrue())
})
