package ledger

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// tally counts the votes on a claim by their kind.
type tally struct {
	// granted, unknown, expired and future count the votes of that kind. missing
	// counts the replicas that have not voted.
	granted, missing, unknown, expired, future int
	// heldSameDigest and heldOtherDigest count the replicas that granted the key to
	// another claimant. They distinguish whether the digest of the other claimant's
	// request equals the digest of this claim.
	heldSameDigest, heldOtherDigest int
	// maxHeldByOneClaimant is the largest number of replicas that granted the key to
	// one and the same other claimant, among claimants with the digest of this claim.
	maxHeldByOneClaimant int
	// outcome is the recorded outcome that one of the votes contains, nil if no vote
	// contains one.
	outcome *outcome
}

// outcome is the recorded outcome of the request that was executed with the key.
type outcome struct {
	digest uint64
	answer *model.Answer
}

// decisionFor returns the result code and the answer for a later request with the
// same key and the given digest. Only one request per key is executed, so a later
// request with a different digest was not executed.
func (o *outcome) decisionFor(digest uint64) (result.Code, *model.Answer) {
	switch {
	case o.digest != digest:
		return result.KeyReused, nil
	case o.answer == nil:
		return result.AnswerNotKept, nil
	}
	return result.Success, o.answer
}

// tally counts the votes received so far.
func (c *claim) tally() *tally {
	t := &tally{}
	for k, v := range c.votes {
		if v == nil {
			t.missing++
			continue
		}
		switch v.Vote {
		case message.VoteGranted:
			t.granted++
		case message.VoteHeldByOther:
			t.addHeldByOther(c, k)
		case message.VoteExpired:
			t.expired++
		case message.VoteFuture:
			t.future++
		default:
			t.unknown++
		}
	}
	return t
}

// addHeldByOther counts the vote of a replica that granted the key to another claimant.
func (t *tally) addHeldByOther(c *claim, memberIndex int) {
	v := c.votes[memberIndex]
	if v.State == model.KeyExecuted {
		t.outcome = &outcome{digest: v.Digest, answer: v.Answer}
	}
	if v.Digest != c.digest {
		t.heldOtherDigest++
		return
	}
	t.heldSameDigest++
	votesForHolder := 0
	for _, o := range c.votes {
		if o != nil && o.Vote == message.VoteHeldByOther && o.Holder == v.Holder {
			votesForHolder++
		}
	}
	t.maxHeldByOneClaimant = max(t.maxHeldByOneClaimant, votesForHolder)
}

// rejectionCode returns the result code for a request whose claim does not reach a
// majority.
//
// A result code of class not_run requires proof that no earlier request with the
// same key and digest was executed. An executed request had a majority. Any
// majority therefore includes a replica that granted the key to that request, and
// this replica votes VoteHeldByOther with the same digest, VoteUnknown or
// VoteExpired.
func (t *tally) rejectionCode(majority int) result.Code {
	provenNotExecuted := t.granted+t.heldOtherDigest+t.future >= majority
	switch {
	case t.heldSameDigest > 0:
		return result.KeyInProgress
	case provenNotExecuted && t.heldOtherDigest > 0:
		return result.KeyReused
	case provenNotExecuted && t.future > 0:
		return result.KeyFromFuture
	case t.unknown >= majority || t.unknown > 0 && t.missing == 0:
		return result.KeyForgotten
	case t.expired > 0:
		return result.KeyExpired
	}
	return result.LedgerNoMajority
}
