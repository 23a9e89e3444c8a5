package permit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
)

// fixedP95 is a permit.Latencies that reports the same p95 latency for every
// service.
type fixedP95 time.Duration

func (f fixedP95) P95(model.ServiceName) model.Duration { return time.Duration(f) }

// shiftShare returns a list with a share of the traffic shift "s", which the
// previous configuration already contained.
func shiftShare(limit int) []permit.Share {
	return []permit.Share{{Shift: "s", Service: "tabview", Limit: limit, LongestTimeout: time.Second, ExistedBefore: true}}
}

// countAllowed returns how many shifted requests may hold a permit at the given
// time. It grants permits until no more may be granted, and then releases them all.
func countAllowed(s *permit.State, at model.Time) int {
	out := &event.Effects{}
	var ids []model.AttemptID
	for s.MayGrantShifted(at, "s") {
		ids = append(ids, attempt(uint64(len(ids))))
		s.ReceivePeerRequest(at, permit.PeerRequest{PermitRequest: *request(ids[len(ids)-1], "s"), From: "x"}, time.Minute, true, out)
		s.GrantPeerRequest(at, ids[len(ids)-1], grantTo("u"), out)
	}
	for _, id := range ids {
		s.Release(at, id, out)
	}
	return len(ids)
}

// newSharingState returns a state with a share of the traffic shift "s", which the
// previous configuration did not contain.
func newSharingState(limit int) *permit.State {
	s := permit.New("i", 1)
	s.SetStartTime(start)
	s.OpenAccount(permit.Account{Upstream: "u", Service: "tabview", Slots: 1000, GrantUntil: permit.Never})
	list := shiftShare(limit)
	list[0].ExistedBefore = false
	s.Configure(start, list, fixedP95(10*time.Millisecond))
	return s
}

// A new traffic shift could overload its target region if its share were usable at
// once. So the usable part grows step by step, and only while the latency in the
// target region is low. If it shrank under high latency, load would oscillate
// between the regions.
var _ = It("usable part of a share grows step by step and pauses while the target region is slow", func() {
	g := NewWithT(GinkgoTB())
	s := newSharingState(50)
	at := start.Add(time.Second + permit.DeadlineGrace)
	g.Expect(countAllowed(s, at.Add(-1))).To(Equal(0), "a previous process may have used the share")
	g.Expect(countAllowed(s, at)).To(Equal(5))
	s.Wake(at.Add(time.Second), fixedP95(19*time.Millisecond), &event.Effects{})
	g.Expect(countAllowed(s, at.Add(time.Second))).To(Equal(10))
	for k := range 3 {
		s.Wake(at.Add(time.Duration(2+k)*time.Second), fixedP95(25*time.Millisecond), &event.Effects{})
	}
	g.Expect(countAllowed(s, at.Add(4*time.Second))).To(Equal(10))
	for k := range 20 {
		s.Wake(at.Add(time.Duration(5+k)*time.Second), fixedP95(10*time.Millisecond), &event.Effects{})
	}
	g.Expect(countAllowed(s, at.Add(25*time.Second))).To(Equal(50))
})

// A change of the roster moves a part of a traffic shift's cap from one instance to
// another. If the new instance used it at once, permits of the former instance
// could still be using the same part, and together they would exceed the cap.
var _ = It("share increases only after other instances have stopped using that part of the cap", func() {
	g := NewWithT(GinkgoTB())
	s := newSharingState(10)
	at := start.Add(time.Minute)
	for k := range 30 {
		s.Wake(start.Add(time.Duration(k)*time.Second), fixedP95(0), &event.Effects{})
	}
	s.Configure(at, shiftShare(20), fixedP95(0))
	g.Expect(countAllowed(s, at)).To(Equal(10))
	later := at.Add(time.Second + permit.DeadlineGrace + 5*time.Second)
	s.Wake(later, fixedP95(0), &event.Effects{})
	g.Expect(countAllowed(s, later)).To(Equal(20))
	s.Configure(later, shiftShare(4), fixedP95(0))
	g.Expect(countAllowed(s, later)).To(Equal(4))
	s.Configure(later, nil, fixedP95(0))
	g.Expect(countAllowed(s, later)).To(Equal(0))
})
