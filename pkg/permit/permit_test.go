package permit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
)

const start = model.Time(time.Hour)

// attempt returns the identifier of attempt n of the instance "holder".
func attempt(n uint64) model.AttemptID {
	return model.AttemptID{Instance: "holder", Incarnation: 1, Seq: n}
}

// newRequester returns the state of the instance "holder", which has requested a
// permit for attempt(1) from the instance "owner".
func newRequester() (*permit.State, *event.Effects) {
	s := permit.New("holder", 1)
	out := &event.Effects{}
	s.RequestPermit(start, "owner", message.PermitRequest{Attempt: attempt(1), Service: "tabview"}, start.Add(time.Minute), out)
	return s, out
}

// request returns the permit request for an attempt whose request was moved to
// another region by the given traffic shift.
func request(id model.AttemptID, shift string) *message.PermitRequest {
	return &message.PermitRequest{Attempt: id, Service: "tabview", Remaining: time.Second, Shift: shift}
}

func grantTo(id model.UpstreamID) message.PermitGrant { return message.PermitGrant{Upstream: id} }

// sentMessages returns the messages of type M among the Send effects.
func sentMessages[M message.Message](out *event.Effects) []M {
	var list []M
	for _, e := range out.List() {
		if s, ok := e.(event.Send); ok {
			if m, ok := s.Message.(M); ok {
				list = append(list, m)
			}
		}
	}
	return list
}

// A grant may be delayed in the network. An attempt dispatched on such a grant
// could reach the upstream after a new owner has begun to grant the same slots.
var _ = It("attempt is not dispatched if its grant is too old", func() {
	g := NewWithT(GinkgoTB())
	s, out := newRequester()
	grant := &message.PermitGrant{Attempt: attempt(1), SentAt: start, QueueTime: 300 * time.Millisecond, Upstream: "u"}
	late := start.Add(300*time.Millisecond + permit.Validity)
	g.Expect(s.ReceiveGrant(late, "owner", grant, out)).To(BeFalse())
	g.Expect(sentMessages[*message.PermitRelease](out)).To(HaveLen(1))
})

// A restarted instance may receive a grant that its previous process requested. The
// previous process may have dispatched the attempt, and the upstream may still be
// executing it. If the new process released the slot, the owner would grant the
// slot a second time. Found by schedule 4601 of the simulation.
var _ = It("grant for an attempt of the previous process is ignored", func() {
	g := NewWithT(GinkgoTB())
	s, out := permit.New("holder", 2), &event.Effects{}
	g.Expect(s.ReceiveGrant(start, "owner", &message.PermitGrant{Attempt: attempt(1), SentAt: start, Upstream: "u"}, out)).To(BeFalse())
	g.Expect(out.List()).To(BeEmpty())
})

// If a lost release were not resent, the slot would count as in use until the
// permit expires after the attempt's deadline.
var _ = It("release is resent until it is acknowledged", func() {
	g := NewWithT(GinkgoTB())
	s, out := newRequester()
	g.Expect(s.ReceiveGrant(start.Add(1), "owner", &message.PermitGrant{Attempt: attempt(1), SentAt: start, Upstream: "u"}, out)).To(BeTrue())
	s.Release(start.Add(2), attempt(1), out)
	s.Wake(start.Add(time.Second), nil, out)
	g.Expect(sentMessages[*message.PermitRelease](out)).To(HaveLen(2))
	s.ReceiveReleaseAck("owner", &message.PermitReleaseAck{Attempt: attempt(1)})
	s.Wake(start.Add(2*time.Second), nil, out)
	g.Expect(sentMessages[*message.PermitRelease](out)).To(HaveLen(2))
})

// A permit request is resent if the grant is late or lost. If the owner treated the
// copy as a new request, one attempt would occupy two slots.
var _ = It("resent permit request gets the same grant again", func() {
	g := NewWithT(GinkgoTB())
	s := permit.New("owner", 1)
	out := &event.Effects{}
	usage := s.OpenAccount(permit.Account{Upstream: "u", Service: "tabview", Slots: 3, GrantUntil: permit.Never})
	r := &message.PermitRequest{Attempt: attempt(1), Service: "tabview", Remaining: time.Second}
	s.ReceivePeerRequest(start, permit.PeerRequest{PermitRequest: *r, From: "holder", SameRegion: true}, time.Second, true, out)
	s.GrantPeerRequest(start, attempt(1), message.PermitGrant{Upstream: "u"}, out)
	s.ReceivePeerRequest(start.Add(5), permit.PeerRequest{PermitRequest: *r, From: "holder", SameRegion: true}, time.Second, true, out)
	grants := sentMessages[*message.PermitGrant](out)
	g.Expect(grants).To(HaveLen(2))
	g.Expect(grants[1]).To(Equal(grants[0]))
	g.Expect(usage.Used()).To(Equal(1))
})

// If the handover of an upstream omitted a permit, the new owner would count the
// permit's slot as free and grant it although it is in use.
var _ = It("handover of an upstream contains every permit for its slots", func() {
	g := NewWithT(GinkgoTB())
	former, next := permit.New("former", 1), permit.New("next", 1)
	out := &event.Effects{}
	former.OpenAccount(permit.Account{Upstream: "u", Slots: 2, GrantUntil: permit.Never})
	former.Grant(start, "u", attempt(1), start.Add(time.Second), out)
	permits, ok := former.HandOver(start, "u", "next")
	g.Expect(ok).To(BeTrue())
	usage := next.OpenAccount(permit.Account{Upstream: "u", Slots: 2, AssumedInUse: 2, AssumedUntil: permit.Never, GrantFrom: permit.Never, GrantUntil: permit.Never})
	g.Expect(usage.Free(start)).To(Equal(0))
	next.TakeOver(start, "u", permits)
	g.Expect(usage.Free(start)).To(Equal(1))
	former.Release(start, attempt(1), out)
	released := sentMessages[*message.PermitRelease](out)
	g.Expect(released).To(HaveLen(1))
	next.ReceiveRelease(start, "former", released[0], out)
	g.Expect(usage.Free(start)).To(Equal(2))
})

// A stopping instance waits until no permit is outstanding. If the upstream was
// handed over to the holder of a permit, the holder sends no release to the
// stopping instance. Waiting for that release would delay the stop until the
// attempt's deadline.
var _ = It("permit is not outstanding once its holder owns the upstream", func() {
	g := NewWithT(GinkgoTB())
	for to, outstanding := range map[model.InstanceID]int{"holder": 0, "other": 1} {
		former := permit.New("former", 1)
		former.OpenAccount(permit.Account{Upstream: "u", Slots: 1, GrantUntil: permit.Never})
		former.TakeOver(start, "u", []message.HeldPermit{{Attempt: attempt(1), Holder: "holder", Remaining: time.Minute}})
		_, ok := former.HandOver(start, "u", to)
		g.Expect(ok).To(BeTrue())
		g.Expect(former.Outstanding()).To(Equal(outstanding), "handed over to %s", to)
	}
})
