package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// drainBound is how long after a statement that it leaves an upstream may still
	// receive requests.
	drainBound = 2 * time.Second
	// pauseMargin is how long after its answer a pause may be ignored, and
	// maxInPause how many requests may then be sent before its end.
	pauseMargin = 500 * time.Millisecond
	maxInPause  = 2
)

// restartUpstream registers another process of an upstream.
func (s *sim) restartUpstream(id string, startMs int64) {
	s.call("core-b1", ackTimeout, func(c event.CallID) event.Body {
		return event.HeartbeatReceived{Call: c, Registration: model.Registration{ID: model.UpstreamID(id), Service: "reads",
			Address: addressOf(id), Zone: "a1", Slots: 4, StartTimeMs: startMs, Sequence: 1}}
	})
	s.run(200 * time.Millisecond)
}

func to(list []sent, upstream model.UpstreamID, from model.InstanceID) []sent {
	var selected []sent
	for _, r := range list {
		if r.upstream == upstream && (from == "" || r.from == from) {
			selected = append(selected, r)
		}
	}
	return selected
}

func TestLeavingUpstreamReceivesNoRequestsAlsoFromAnInstanceThatIsCutOff(t *testing.T) {
	RegisterTestingT(t)
	s := newLimitSim(1)
	s.partition([]model.InstanceID{"edge-c1"}, s.order, true)
	leaving := func(r sent) model.UpstreamStatement {
		return model.UpstreamStatement{Leaving: r.upstream == "u1" && (r.from == "edge-c1" || r.from == "edge-a1")}
	}
	s.pressAll(drainBound, leaving)
	list := s.pressAll(2*time.Second, leaving)
	Expect(to(list, "u1", "")).To(BeEmpty(), "also at instances that have not heard it from the upstream itself")
	Expect(len(to(list, "u2", "edge-c1"))).To(BeNumerically(">", 50))

	// Another process under the same identifier is not leaving, and a late answer of
	// the former one does not change that.
	s.partition([]model.InstanceID{"edge-c1"}, s.order, false)
	s.restartUpstream("u1", 2)
	s.step(s.nodes["edge-a1"], event.UpstreamStated{Upstream: "u1", StartMs: 1, Statement: model.UpstreamStatement{Leaving: true}})
	list = s.pressAll(3*time.Second, func(sent) model.UpstreamStatement { return model.UpstreamStatement{} })
	Expect(len(to(list, "u1", "edge-a1"))).To(BeNumerically(">", 20))
}

func TestUpstreamThatWantsAPauseIsLeftAloneAndComesBackInSmallSteps(t *testing.T) {
	RegisterTestingT(t)
	const pause = 3 * time.Second
	s := newLimitSim(1)
	pausing := func(r sent) model.UpstreamStatement {
		if r.upstream == "u1" {
			return model.UpstreamStatement{Pause: pause}
		}
		return model.UpstreamStatement{}
	}
	s.pressAll(pressInterval*4, pausing)
	s.pressAll(limitWorkTime+pauseMargin, pausing)
	list := s.pressAll(pause-pauseMargin-2*limitWorkTime, pausing)
	Expect(to(list, "u1", "")).To(BeEmpty())
	working := func(sent) model.UpstreamStatement { return model.UpstreamStatement{} }
	s.pressAll(5*limitWorkTime, working)
	list = s.pressAll(limitWorkTime, working)
	for _, id := range []model.InstanceID{"edge-a1", "edge-b1"} {
		Expect(len(to(list, "u1", id))).To(BeNumerically("<=", 4), "one request at first, twice as many after each answer")
	}
	s.pressAll(2*time.Second, working)
	Expect(len(to(s.pressAll(time.Second, working), "u1", ""))).To(BeNumerically(">", 50))
}

func TestRequestIsRefusedAtOnceWithTheTimeOfReturnIfAllUpstreamsPause(t *testing.T) {
	RegisterTestingT(t)
	s := newLimitSim(1)
	n := s.nodes["edge-a1"]
	for _, id := range []model.UpstreamID{"u1", "u2"} {
		s.step(n, event.UpstreamStated{Upstream: id, StartMs: 1, Statement: model.UpstreamStatement{Pause: 4 * time.Second}})
	}
	n.effects = nil
	s.step(n, event.RoutedArrived{ID: 900001, Host: "h", Path: "/r/x", Replayable: true})
	Expect(n.effects).To(HaveLen(1))
	reject := n.effects[0].(event.Reject)
	Expect(reject.Code).To(Equal(result.NoUpstream))
	Expect(reject.RetryAfter).To(BeNumerically(">=", 4*time.Second))
	Expect(reject.RetryAfter).To(BeNumerically("<", 5*time.Second))
}

// upstreamModel is an upstream that states something about itself.
type upstreamModel struct {
	startMs                int64
	leavingFrom, pausedEnd model.Time
	limitedFrom            model.Time
	limit                  float64
	// told holds when each instance received the first answer with the present
	// statement.
	told map[model.InstanceID]model.Time
}

func TestStatementsAreKeptInRandomSchedules(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(8) {
		playStatements(seed)
	}
}

// playStatements draws statements, restarts of upstreams, and losses of entry and
// control instances, and checks the bounds of all three statements.
func playStatements(seed uint64) {
	s := newConfiguredSim(seed)
	ids := []model.UpstreamID{"u1", "u2", "u3", "u4"}
	models := map[model.UpstreamID]*upstreamModel{}
	for _, id := range ids {
		models[id] = &upstreamModel{startMs: 1, told: map[model.InstanceID]model.Time{}}
		s.restartUpstream(string(id), 1)
	}
	inPause := map[string]int{}
	var limited []model.Time
	answer := func(r sent) model.UpstreamStatement {
		m := models[r.upstream]
		if r.startMs != m.startMs {
			return model.UpstreamStatement{}
		}
		told := m.told[r.from]
		if m.leavingFrom != 0 && told != 0 {
			Expect(r.at).To(BeNumerically("<=", told.Add(drainBound)), "leaving %s, seed %d", r.upstream, seed)
		}
		if told != 0 && r.at > told.Add(pauseMargin) && r.at < m.pausedEnd {
			inPause[string(r.upstream)+string(r.from)]++
			Expect(inPause[string(r.upstream)+string(r.from)]).To(BeNumerically("<=", maxInPause), "pausing %s, seed %d", r.upstream, seed)
		}
		if m.limit > 0 && r.at > m.limitedFrom.Add(limitWindow) && told != 0 && r.at > told.Add(pauseMargin) {
			limited = append(limited, r.at)
		}
		if told == 0 {
			m.told[r.from] = r.at.Add(limitWorkTime)
		}
		return model.UpstreamStatement{Leaving: m.leavingFrom != 0, RequestLimit: m.limit, Pause: max(0, m.pausedEnd.Sub(r.at))}
	}
	for range 6 {
		id := ids[s.rng.IntN(len(ids))]
		m := models[id]
		*m = upstreamModel{startMs: m.startMs, told: map[model.InstanceID]model.Time{}}
		clear(inPause)
		limited = nil
		switch s.rng.IntN(4) {
		case 0:
			m.leavingFrom = s.now
		case 1:
			m.pausedEnd = s.now.Add(time.Duration(1+s.rng.IntN(4)) * time.Second)
		case 2:
			m.limitedFrom, m.limit = s.now, []float64{1.4, 4, 12}[s.rng.IntN(3)]
		case 3:
			m.startMs++
			s.restartUpstream(string(id), m.startMs)
		}
		if s.rng.IntN(2) == 0 {
			lost := s.anyControl()
			s.crash(lost)
			s.schedule(2*time.Second, func() { s.start(s.nodes[lost]) })
		}
		s.pressAll(10*time.Second, answer)
		Expect(float64(mostInWindow(limited))).To(BeNumerically("<=", 1.5*max(m.limit, 0.01)*limitWindow.Seconds()+5), "limit %v of %s, seed %d", m.limit, id, seed)
		if m.leavingFrom != 0 {
			m.startMs++
			s.restartUpstream(string(id), m.startMs)
		}
		*m = upstreamModel{startMs: m.startMs, told: map[model.InstanceID]model.Time{}}
	}
}
