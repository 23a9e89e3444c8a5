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

// Account describes the slots of one upstream that this instance owns: how many
// slots the upstream has and in which period this instance may grant them to
// attempts.
type Account struct {
	Upstream model.UpstreamID
	Service  model.ServiceName
	Slots    int
	// AssumedInUse is the number of slots that count as used until AssumedUntil,
	// because the upstream may still be executing attempts to which its former
	// owner granted slots.
	AssumedInUse int
	AssumedUntil model.Time
	// GrantFrom is the earliest time at which this instance may grant slots of the
	// upstream.
	GrantFrom model.Time
	// GrantUntil is the time from which this instance may no longer grant slots of
	// the upstream. State.Renew changes it.
	GrantUntil model.Time
}

// account is an open Account together with the use of its slots.
type account struct {
	Account
	// used is the number of the upstream's slots for which a permit exists.
	used int
	// oldestGrant is the grant time of the oldest permit that an instance of this
	// region holds, as of the last call of RefreshOldestGrants.
	oldestGrant model.Time
}

// permit is the right of one attempt to use one slot of an upstream. This instance
// granted the permit, or took it over from the former owner of the upstream.
type permit struct {
	attempt model.AttemptID
	// holder is the instance whose attempt uses the permit.
	holder    model.InstanceID
	account   *account
	grantedAt model.Time
	// expiresAt is the time at which the permit ends if the holder has not released
	// it before.
	expiresAt model.Time
	heapIndex int
	// grantMessage is the grant that was sent to the holder, kept for resending. It
	// is nil if this instance is the holder or took the permit over.
	grantMessage *message.PermitGrant
	// newOwner is the instance to which this instance handed the upstream over and
	// forwards the release of the permit. It is "" if the upstream was not handed
	// over.
	newOwner model.InstanceID
	// share is the share of a traffic shift's cap against which the permit counts.
	// It is nil if no traffic shift moved the attempt's request to this region.
	share *share
	// crossRegion is true if the holder is in another region than this instance.
	// The age of such a permit includes the network delay between the regions, so a
	// high age does not mean that the upstream is slow.
	crossRegion bool
}

// Never is later than the time of every event, so nothing that is scheduled for
// Never happens.
const Never model.Time = 1 << 62

// Usage reports how many slots of one upstream are free and in use, and how old the
// oldest permit for them is.
type Usage interface {
	// Free returns how many more slots of the upstream may be granted at the given
	// time. It may be negative after the upstream has reduced its number of slots.
	Free(at model.Time) int
	// Used returns the number of the upstream's slots for which a permit exists.
	Used() int
	// OldestGrant returns the grant time of the oldest permit that an instance of
	// this region holds, Never if there is none. The value is computed by
	// State.RefreshOldestGrants and may be out of date.
	OldestGrant() model.Time
}

// OpenAccount starts to track the use of an upstream's slots. If an account of the
// upstream is still open, the new account replaces it and keeps the permits of the
// old one. The upstream may have restarted at the same address, and attempts that
// were granted slots of its previous process may still reach the new process.
func (s *State) OpenAccount(a Account) Usage {
	if s.DisabledRules.FreeOnTakeover {
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

// trigger returns the DispatchTrigger to add when a slot of the upstream may have
// become free.
func (a *account) trigger() DispatchTrigger { return DispatchTrigger{a.Upstream, a.Service} }

// Renew sets the time from which slots of the upstream may no longer be granted.
func (s *State) Renew(id model.UpstreamID, until model.Time) {
	if a := s.accounts[id]; a != nil {
		a.GrantUntil = until
		s.addTrigger(a.trigger())
	}
}

// Resize changes the number of slots of an upstream. If more permits exist than the
// new number, all of them remain valid until they are released or expire.
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

// CloseAccount stops tracking the use of an upstream's slots. The remaining permits
// for these slots end when they are released or expire.
func (s *State) CloseAccount(id model.UpstreamID) { delete(s.accounts, id) }

// Free implements Usage.
func (a *account) Free(at model.Time) int {
	if at < a.GrantFrom || at >= a.GrantUntil {
		return 0
	}
	return a.Slots - a.used - a.assumedInUseAt(at)
}

// Used implements Usage.
func (a *account) Used() int { return a.used }

// OldestGrant implements Usage.
func (a *account) OldestGrant() model.Time { return a.oldestGrant }

// RefreshOldestGrants recomputes the value that Usage.OldestGrant returns, for all
// accounts.
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

// CrossRegionUsed returns the number of permits for upstreams of the service that
// are held by instances of other regions.
func (s *State) CrossRegionUsed(service model.ServiceName) int { return s.crossRegionUsed[service] }

// UpstreamOf returns the upstream whose slot the attempt holds by a permit that
// this instance granted or took over. It returns "" if there is no such permit.
func (s *State) UpstreamOf(attempt model.AttemptID) model.UpstreamID {
	if p := s.permits[attempt]; p != nil {
		return p.account.Upstream
	}
	return ""
}

// assumedInUseAt returns how many slots without a permit are assumed to be in use
// at the given time.
func (a *account) assumedInUseAt(at model.Time) int {
	if at >= a.AssumedUntil {
		return 0
	}
	return a.AssumedInUse
}

// Grant grants a free slot of an upstream to an attempt of this instance. The
// permit expires DeadlineGrace after the given deadline of the attempt. The caller
// must have checked with Usage.Free that a slot is free.
func (s *State) Grant(at model.Time, id model.UpstreamID, attempt model.AttemptID, deadline model.Time, out *event.Effects) {
	s.grant(at, &permit{attempt: attempt, holder: s.self, account: s.accounts[id], grantedAt: at, expiresAt: deadline.Add(DeadlineGrace)}, out)
}

// grant registers a new permit. It reports a violated invariant if more slots are
// in use than the upstream has.
func (s *State) grant(at model.Time, p *permit, out *event.Effects) {
	a := p.account
	if s.DisabledRules.ExpireEarly {
		p.expiresAt = min(p.expiresAt, at.Add(Validity/10))
	}
	a.used++
	s.permits[p.attempt] = p
	heap.Push(&s.byExpiry, p)
	if p.crossRegion {
		s.crossRegionUsed[a.Service]++
	}
	if a.used+a.assumedInUseAt(at) > a.Slots {
		out.Add(event.InvariantFailed{Name: "slot_bound", Detail: fmt.Sprintf("upstream %s: %d of %d slots granted", a.Upstream, a.used, a.Slots)})
	}
}

// Release ends the permit of an attempt of this instance. If the permit was granted
// by another instance, or requested from it, Release sends that instance a
// PermitRelease, which ends the permit or withdraws the permit request. Release
// reports whether the attempt had a permit or a permit request.
func (s *State) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	if p := s.permits[attempt]; p != nil {
		s.endAndForward(at, p, out)
		return true
	}
	return s.releaseRemote(at, attempt, out)
}

// endAndForward ends a permit after the attempt has released its slot. If this
// instance has handed the upstream over, it sends a release of the permit to the
// new owner.
func (s *State) endAndForward(at model.Time, p *permit, out *event.Effects) {
	s.endPermit(at, p)
	if p.newOwner != "" && !s.DisabledRules.NoForward {
		s.remotePermits[p.attempt] = &remotePermit{attempt: p.attempt, owner: p.newOwner, phase: releasing, expiresAt: p.expiresAt}
		s.sendRelease(at, s.remotePermits[p.attempt], out)
	}
}

// endPermit deletes a permit, because its slot is free or the permit has expired,
// and updates all counts of permits.
func (s *State) endPermit(at model.Time, p *permit) {
	delete(s.permits, p.attempt)
	heap.Remove(&s.byExpiry, p.heapIndex)
	p.account.used--
	s.addTrigger(p.account.trigger())
	if p.share != nil {
		p.share.used--
	}
	if p.crossRegion {
		s.crossRegionUsed[p.account.Service]--
	}
}

// HasGranted reports whether the attempt holds a permit that this instance
// granted or took over.
func (s *State) HasGranted(attempt model.AttemptID) bool { return s.permits[attempt] != nil }

// HandOver stops tracking the use of an upstream's slots and returns the permits
// for these slots, to be sent to the new owner. Releases that arrive afterwards are
// forwarded to the new owner. HandOver does nothing and returns false while this
// instance does not know exactly which slots are in use: before Account.GrantFrom,
// and while slots are assumed to be in use.
func (s *State) HandOver(at model.Time, id model.UpstreamID, to model.InstanceID) ([]message.HeldPermit, bool) {
	a := s.accounts[id]
	if a == nil || at < a.GrantFrom || a.assumedInUseAt(at) > 0 {
		return nil, false
	}
	delete(s.accounts, id)
	permits := []message.HeldPermit{}
	if a.used == 0 || s.DisabledRules.NoForward {
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

// lessAttempt orders attempts by instance, incarnation and sequence number.
func lessAttempt(a, b model.AttemptID) bool {
	if a.Instance != b.Instance {
		return a.Instance < b.Instance
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq
}

// TakeOver adds the permits that the former owner of the upstream handed over. From
// then on no slots are assumed to be in use, and slots may be granted at once.
func (s *State) TakeOver(at model.Time, id model.UpstreamID, permits []message.HeldPermit) {
	a := s.accounts[id]
	if a == nil {
		return
	}
	a.AssumedInUse = 0
	a.GrantFrom = at
	for _, handedOver := range permits {
		if old := s.permits[handedOver.Attempt]; old != nil {
			// This instance handed the upstream over together with this permit, and
			// now owns the upstream again.
			old.newOwner = ""
			if old.account != a {
				old.account.used--
				old.account = a
				a.used++
			}
			continue
		}
		p := &permit{attempt: handedOver.Attempt, holder: handedOver.Holder, account: a, grantedAt: at,
			expiresAt: at.Add(handedOver.Remaining), crossRegion: handedOver.CrossRegion}
		if p.crossRegion {
			s.crossRegionUsed[a.Service]++
		}
		a.used++
		s.permits[handedOver.Attempt] = p
		heap.Push(&s.byExpiry, p)
	}
	s.addTrigger(a.trigger())
}

// Outstanding returns the number of permits that this instance granted or took over
// and that other instances still hold, plus the number of releases that this
// instance has sent and that are not acknowledged yet. It does not count a permit
// whose holder has become the owner of the upstream, because the holder sends no
// release to this instance.
func (s *State) Outstanding() int {
	n := 0
	for _, p := range s.byExpiry {
		if p.holder != s.self && p.holder != p.newOwner {
			n++
		}
	}
	for _, rp := range s.remotePermits {
		if rp.phase == releasing {
			n++
		}
	}
	return n
}

// permitHeap is a priority queue of permits, ordered by expiry time, then by
// attempt.
type permitHeap = priority.Queue[*permit]

// Before implements priority.Item.
func (p *permit) Before(other *permit) bool {
	if p.expiresAt != other.expiresAt {
		return p.expiresAt < other.expiresAt
	}
	return lessAttempt(p.attempt, other.attempt)
}

// HeapIndex implements priority.Item.
func (p *permit) HeapIndex() *int { return &p.heapIndex }
