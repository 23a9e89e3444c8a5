package permit

import (
	"container/heap"
	"fmt"
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

// Account describes the slots of an upstream that this instance owns.
type Account struct {
	Upstream model.UpstreamID
	Service  model.ServiceName
	Slots    int
	// Assumed slots count as used until AssumedUntil: a former owner may have
	// work in flight there.
	AssumedInUse int
	AssumedUntil model.Time
	// GrantFrom and GrantUntil bound the time in which slots may be granted.
	GrantFrom  model.Time
	GrantUntil model.Time
}

type account struct {
	Account
	used int
	// oldest is when the oldest permit was granted, as of MeasureAges.
	oldestGrant model.Time
}

type permit struct {
	attempt model.AttemptID
	// holder is the instance that asked for the permit.
	holder    model.InstanceID
	account   *account
	grantedAt model.Time
	expiresAt model.Time
	heapIndex int
	// grant is the message to the holder, nil for attempts of this instance.
	grantMessage *message.PermitGrant
	// newOwner is set when the upstream was handed over; it learns of the
	// release from this instance.
	newOwner model.InstanceID
	share    *share
	// far permits are held by an instance of another region. Their age says
	// nothing of the upstream.
	crossRegion bool
}

// Never is a time that does not come.
const Never model.Time = 1 << 62

// Meter reads the accounting of one upstream.
type Usage interface {
	// Free returns the number of slots that may be granted at the time.
	Free(at model.Time) int
	// Used returns the number of slots with a permit.
	Used() int
	// Oldest returns when the oldest permit was granted, as of the last
	// MeasureAges. It is Never if there was none.
	OldestGrant() model.Time
}

// Own starts the accounting of an upstream. Permits of an account that is still
// open go on counting: work granted for the former process may reach the new one
// at the same address.
func (s *State) OpenAccount(a Account) Usage {
	if s.Faults.FreeOnTakeover {
		a.AssumedInUse = 0
		a.GrantFrom = 0
	}
	acc := &account{Account: a, oldestGrant: Never}
	if old := s.accounts[a.Upstream]; old != nil && old.used > 0 {
		for _, p := range s.byExpiry {
			if p.account == old {
				p.account = acc
				acc.used++
			}
		}
	}
	s.accounts[a.Upstream] = acc
	if a.GrantFrom < Never {
		s.accountTimers.Add(a.GrantFrom, acc.trigger())
	}
	if a.AssumedInUse > 0 {
		s.accountTimers.Add(a.AssumedUntil, acc.trigger())
	}
	s.addTrigger(acc.trigger())
	return acc
}

func (a *account) trigger() DispatchTrigger { return DispatchTrigger{a.Upstream, a.Service} }

// Renew extends the time in which slots of the upstream may be granted.
func (s *State) Renew(id model.UpstreamID, until model.Time) {
	if a := s.accounts[id]; a != nil {
		a.GrantUntil = until
		s.addTrigger(a.trigger())
	}
}

// Resize changes the number of slots of an upstream. Permits beyond a smaller
// number stay until they end.
func (s *State) Resize(id model.UpstreamID, slots int) {
	a := s.accounts[id]
	if a == nil {
		return
	}
	if a.AssumedInUse > 0 {
		a.AssumedInUse += max(0, slots-a.Slots)
	}
	a.Slots = slots
	s.addTrigger(a.trigger())
}

// Disown ends the accounting of an upstream.
func (s *State) CloseAccount(id model.UpstreamID) { delete(s.accounts, id) }

// Free implements Meter.
func (a *account) Free(at model.Time) int {
	if at < a.GrantFrom || at >= a.GrantUntil {
		return 0
	}
	return a.Slots - a.used - a.assumedInUseAt(at)
}

// Used implements Meter.
func (a *account) Used() int { return a.used }

// Oldest implements Meter.
func (a *account) OldestGrant() model.Time { return a.oldestGrant }

// MeasureAges brings the ages of the oldest permits up to date.
func (s *State) RefreshOldestGrants() {
	for _, a := range s.accounts {
		a.oldestGrant = Never
	}
	for _, p := range s.byExpiry {
		if !p.crossRegion {
			p.account.oldestGrant = min(p.account.oldestGrant, p.grantedAt)
		}
	}
}

// FarUsed returns the number of permits of the service that instances of other
// regions hold.
func (s *State) CrossRegionPermits(service model.ServiceName) int {
	return s.crossRegionPermits[service]
}

// UpstreamOf returns the upstream of a permit that this instance granted, "" if
// there is none.
func (s *State) UpstreamOf(attempt model.AttemptID) model.UpstreamID {
	if p := s.permits[attempt]; p != nil {
		return p.account.Upstream
	}
	return ""
}

func (a *account) assumedInUseAt(at model.Time) int {
	if at >= a.AssumedUntil {
		return 0
	}
	return a.AssumedInUse
}

// Grant takes a free slot for an attempt of this instance until the deadline
// plus DeadlineGrace. The caller has checked Free.
func (s *State) Grant(at model.Time, id model.UpstreamID, attempt model.AttemptID, deadline model.Time, out *event.Effects) {
	s.grant(at, &permit{attempt: attempt, holder: s.self, account: s.accounts[id], grantedAt: at, expiresAt: deadline.Add(DeadlineGrace)}, out)
}

func (s *State) grant(at model.Time, p *permit, out *event.Effects) {
	a := p.account
	if s.Faults.ExpireEarly {
		p.expiresAt = min(p.expiresAt, at.Add(Validity/10))
	}
	a.used++
	s.permits[p.attempt] = p
	heap.Push(&s.byExpiry, p)
	if p.crossRegion {
		s.crossRegionPermits[a.Service]++
	}
	if a.used+a.assumedInUseAt(at) > a.Slots {
		out.Add(event.InvariantFailed{Name: "slot_bound", Detail: fmt.Sprintf("upstream %s: %d of %d slots granted", a.Upstream, a.used, a.Slots)})
	}
}

// Release ends the permit of an attempt of this instance, or gives it back to
// the owner that granted it. It reports whether there was one.
func (s *State) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	if p := s.permits[attempt]; p != nil {
		s.endAndForward(at, p, out)
		return true
	}
	return s.releaseRemote(at, attempt, out)
}

// release ends a permit whose slot is free, and tells the new owner if the
// upstream was handed over.
func (s *State) endAndForward(at model.Time, p *permit, out *event.Effects) {
	s.endPermit(at, p)
	if p.newOwner != "" && !s.Faults.NoForward {
		s.remotePermits[p.attempt] = &remotePermit{attempt: p.attempt, owner: p.newOwner, phase: releasing, expiresAt: p.expiresAt}
		s.sendRelease(at, s.remotePermits[p.attempt], out)
	}
}

func (s *State) endPermit(at model.Time, p *permit) {
	delete(s.permits, p.attempt)
	heap.Remove(&s.byExpiry, p.heapIndex)
	p.account.used--
	s.addTrigger(p.account.trigger())
	if p.share != nil {
		p.share.used--
	}
	if p.crossRegion {
		s.crossRegionPermits[p.account.Service]--
	}
}

// Held reports whether the attempt holds a permit that this instance granted.
func (s *State) HasGranted(attempt model.AttemptID) bool { return s.permits[attempt] != nil }

// HandOver ends the accounting of an upstream and returns its permits, if the
// count is exact now. Later releases are passed on to the new owner.
func (s *State) HandOver(at model.Time, id model.UpstreamID, to model.InstanceID) ([]message.HeldPermit, bool) {
	a := s.accounts[id]
	if a == nil || at < a.GrantFrom || a.assumedInUseAt(at) > 0 {
		return nil, false
	}
	delete(s.accounts, id)
	permits := []message.HeldPermit{}
	if a.used == 0 || s.Faults.NoForward {
		return permits, true
	}
	for _, p := range s.byExpiry {
		if p.account == a {
			p.newOwner = to
			permits = append(permits, message.HeldPermit{Attempt: p.attempt, Holder: p.holder, Remaining: p.expiresAt.Sub(at), CrossRegion: p.crossRegion})
		}
	}
	sort.Slice(permits, func(i, j int) bool { return lessAttempt(permits[i].Attempt, permits[j].Attempt) })
	return permits, true
}

func lessAttempt(a, b model.AttemptID) bool {
	if a.Instance != b.Instance {
		return a.Instance < b.Instance
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq
}

// TakeOver replaces the assumed slots of an upstream by the permits that its
// former owner handed over.
func (s *State) TakeOver(at model.Time, id model.UpstreamID, permits []message.HeldPermit) {
	a := s.accounts[id]
	if a == nil {
		return
	}
	a.AssumedInUse = 0
	a.GrantFrom = at
	for _, h := range permits {
		if old := s.permits[h.Attempt]; old != nil {
			// The permit was granted here and handed over before; the upstream has
			// come back.
			old.newOwner = ""
			if old.account != a {
				old.account.used--
				old.account = a
				a.used++
			}
			continue
		}
		p := &permit{attempt: h.Attempt, holder: h.Holder, account: a, grantedAt: at, expiresAt: at.Add(h.Remaining), crossRegion: h.CrossRegion}
		if p.crossRegion {
			s.crossRegionPermits[a.Service]++
		}
		a.used++
		s.permits[h.Attempt] = p
		heap.Push(&s.byExpiry, p)
	}
	s.addTrigger(a.trigger())
}

// Unsettled returns the number of permits that other instances hold and of
// releases that are not acknowledged. A permit that was handed over to its own
// holder needs nobody to pass on its release, and none comes.
func (s *State) Outstanding() int {
	n := 0
	for _, p := range s.byExpiry {
		if p.holder != s.self && p.holder != p.newOwner {
			n++
		}
	}
	for _, h := range s.remotePermits {
		if h.phase == releasing {
			n++
		}
	}
	return n
}

// permitHeap orders permits by expiry, then by attempt.
type permitHeap = priority.Queue[*permit]

// Before implements priority.Item.
func (p *permit) Before(other *permit) bool {
	if p.expiresAt != other.expiresAt {
		return p.expiresAt < other.expiresAt
	}
	return lessAttempt(p.attempt, other.attempt)
}

// Position implements priority.Item.
func (p *permit) Position() *int { return &p.heapIndex }
