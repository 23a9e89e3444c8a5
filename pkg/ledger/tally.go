package ledger

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// tally counts the votes of a claim.
type tally struct {
	granted, missing, unknown, expired, future int
	// sameTaken and otherTaken count replicas that gave the key to another
	// claimant, with the same digest and with another one.
	takenSameDigest, takenOtherDigest int
	// heldByOne is the largest number of replicas that one other claimant with
	// the same digest has.
	maxHeldByOne int
	// ran is a vote that brings an outcome, nil if none does.
	outcome *outcome
}

// outcome is the outcome of the request that ran with the key.
type outcome struct {
	digest uint64
	answer *model.Answer
}

// outcomeFor returns what a request with the digest is told. Only one request
// runs with a key, so a request with another digest did not.
func (o *outcome) decisionFor(digest uint64) (result.Code, *model.Answer) {
	switch {
	case o.digest != digest:
		return result.KeyReused, nil
	case o.answer == nil:
		return result.AnswerNotKept, nil
	}
	return result.Answered, o.answer
}

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
		case message.VoteTaken:
			t.addTaken(c, k)
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

func (t *tally) addTaken(c *claim, memberIndex int) {
	v := c.votes[memberIndex]
	if v.State == model.KeyRan {
		t.outcome = &outcome{digest: v.Digest, answer: v.Answer}
	}
	if v.Digest != c.digest {
		t.takenOtherDigest++
		return
	}
	t.takenSameDigest++
	held := 0
	for _, o := range c.votes {
		if o != nil && o.Vote == message.VoteTaken && o.Holder == v.Holder {
			held++
		}
	}
	t.maxHeldByOne = max(t.maxHeldByOne, held)
}

// refusal returns the code of a claim that gets no majority.
//
// A code of class not_run needs proof that no earlier request with the key and
// the digest ran: such a request had a majority, so at least one replica of any
// majority would know it, or vote unknown or expired.
func (t *tally) rejectionCode(majority int) result.Code {
	provenNotExecuted := t.granted+t.takenOtherDigest+t.future >= majority
	switch {
	case t.takenSameDigest > 0:
		return result.KeyInProgress
	case provenNotExecuted && t.takenOtherDigest > 0:
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
