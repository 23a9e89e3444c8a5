package fleet

import (
	"math"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/rateshare"
)

// rateShares holds what this instance does for the request limits of upstreams:
// as an entry instance it reports its demand, as the leader of the control group
// it divides the limits.
type rateShares struct {
	// reportAt is when the demand is reported next, 0 if there is none to report.
	reportAt model.Time
	// leader divides the limits in the term leaderTerm. It is nil if this instance
	// has received no report in a term that it leads.
	leader     *rateshare.State
	leaderTerm uint64
}

// minLoggedLimitChange is the relative change of a request limit from which it is
// logged.
const minLoggedLimitChange = 0.25

// limitStated requests a report of the demand after a response that states a
// request limit, and logs a limit that differs from the previous one.
func (s *State) limitStated(at model.Time, b *event.SendEnded, previous float64) {
	if b.Statement.RequestLimit > 0 && s.rates.reportAt == 0 {
		s.rates.reportAt = at
	}
	latest := s.balance.RequestLimit(b.Upstream)
	if math.Abs(latest-previous) > minLoggedLimitChange*previous || latest == 0 && previous > 0 {
		s.logStatement(b.Upstream, b.UpstreamStartMs, logevent.F("limit", latest), logevent.F("previous", previous))
	}
}

// reportRateDemands reports the demand for upstreams with a request limit to the
// leader of the control group, as long as there are any.
func (s *State) reportRateDemands(at model.Time) {
	if s.rates.reportAt == 0 || at < s.rates.reportAt {
		return
	}
	s.rates.reportAt = 0
	demands := s.balance.RateDemands(at)
	if len(demands) == 0 {
		return
	}
	s.rates.reportAt = at.Add(rateshare.ReportInterval)
	if leader := s.replica.Leader(); leader != "" {
		s.out.Add(event.Send{To: leader, Message: &message.RateDemands{Demands: demands}})
	}
}

// receiveRateDemands answers the report of an entry instance with its shares, if
// this instance leads the control group.
func (s *State) receiveRateDemands(at model.Time, from model.InstanceID, m *message.RateDemands) {
	if s.agreement == nil {
		return
	}
	term := s.agreement.LeadingTerm()
	if term == 0 {
		return
	}
	if s.rates.leader == nil || s.rates.leaderTerm != term {
		s.rates.leader, s.rates.leaderTerm = rateshare.New(s.agreement.LeadingSince()), term
	}
	if shares := s.rates.leader.Report(at, from, m.Demands); len(shares) > 0 {
		s.out.Add(event.Send{To: from, Message: &message.RateShares{Shares: shares}})
	}
}
