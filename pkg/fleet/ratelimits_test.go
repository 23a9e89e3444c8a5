package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// pressInterval is the interval at which each entry instance receives a request.
	pressInterval = 20 * time.Millisecond
	// limitWorkTime is how long an upstream takes for a request.
	limitWorkTime = 100 * time.Millisecond
	// limitWindow is the length of the windows in which requests to an upstream with
	// a limit are counted.
	limitWindow = 4 * time.Second
)

// sent is a request that an entry instance sent to an upstream.
type sent struct {
	at       model.Time
	from     model.InstanceID
	upstream model.UpstreamID
	startMs  int64
}

// pressAll sends requests to all running entry instances for the given time and
// returns what they sent. answer returns what an upstream states in its response
// to a request that was sent now; the statement reaches the instance after
// limitWorkTime.
func (s *sim) pressAll(duration time.Duration, answer func(sent) model.UpstreamStatement) []sent {
	var list []sent
	for end := s.now.Add(duration); s.now < end; s.run(pressInterval) {
		forEachRunning(s, false, func(id model.InstanceID) {
			n := s.nodes[id]
			n.effects = nil
			s.lastCall++
			s.step(n, event.RoutedArrived{ID: model.RequestID(s.lastCall), Host: "h", Path: "/r/x", Replayable: true})
			for _, e := range n.effects {
				if f, ok := e.(event.Forward); ok {
					request := sent{s.now, id, f.Upstream, f.UpstreamStartMs}
					list = append(list, request)
					s.answerLater(n, &f, answer(request))
				}
			}
		})
	}
	return list
}

// answerLater answers a request after limitWorkTime. An upstream that wants a pause
// refuses the request.
func (s *sim) answerLater(n *node, f *event.Forward, statement model.UpstreamStatement) {
	ended := event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, UpstreamStartMs: f.UpstreamStartMs,
		Outcome: event.SendAnswered, ResponseTime: limitWorkTime, Responded: true, Statement: statement}
	if statement.Pause > 0 {
		ended.Outcome = event.SendNotExecuted
	}
	generation := n.generation
	s.schedule(limitWorkTime, func() {
		if n.generation != generation {
			return
		}
		if statement.Leaving || statement.Pause > 0 {
			s.step(n, event.UpstreamStated{Upstream: f.Upstream, StartMs: f.UpstreamStartMs, Statement: statement})
		}
		s.step(n, ended)
	})
}

// press is pressAll with an upstream u1 that states the given limit, 0 for none. It
// returns the times at which requests were sent to u1, but not those that were
// sent by instances for which excused returns true.
func (s *sim) press(duration time.Duration, limit float64, excused func(model.InstanceID) bool) []model.Time {
	var times []model.Time
	s.pressAll(duration, func(r sent) model.UpstreamStatement {
		if r.upstream != "u1" {
			return model.UpstreamStatement{}
		}
		if !excused(r.from) {
			times = append(times, s.now)
		}
		return model.UpstreamStatement{RequestLimit: limit}
	})
	return times
}

// mostInWindow returns the largest number of times in any window of limitWindow.
func mostInWindow(sent []model.Time) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func noneExcused(model.InstanceID) bool { return false }

// newLimitSim starts a deployment with an upstream u1 and another one.
func newLimitSim(seed uint64) *sim {
	s := newConfiguredSim(seed)
	for _, id := range []string{"u1", "u2"} {
		s.call("core-b1", ackTimeout, sendHeartbeat(id, "a1", 1, model.RegistrationServing))
	}
	s.run(time.Second)
	return s
}

func TestRequestLimitIsKeptAndUsedByAllInstancesTogether(t *testing.T) {
	RegisterTestingT(t)
	for seed, limit := range []float64{1.4, 5, 19} {
		s := newLimitSim(uint64(seed))
		s.press(4*time.Second, limit, noneExcused)
		sent := s.press(20*time.Second, limit, noneExcused)
		Expect(float64(mostInWindow(sent))).To(BeNumerically("<=", 1.5*limit*limitWindow.Seconds()+5), "limit %v", limit)
		Expect(float64(len(sent))).To(BeNumerically(">=", 0.75*limit*20), "limit %v", limit)
		// Afterwards the upstream receives its part of all requests again.
		s.press(4*time.Second, 0, noneExcused)
		Expect(len(s.press(4*time.Second, 0, noneExcused))).To(BeNumerically(">", 100))
	}
}

func TestRequestLimitIsKeptWhileInstancesAndTheLeaderAreLost(t *testing.T) {
	RegisterTestingT(t)
	const limit = 3.0
	for seed := range seeds(6) {
		s := newLimitSim(seed)
		s.press(4*time.Second, limit, noneExcused)
		disturbed := map[model.InstanceID]bool{}
		excused := func(id model.InstanceID) bool { return disturbed[id] }
		var sent []model.Time
		for range 5 {
			switch s.rng.IntN(3) {
			case 0:
				id := s.anyControl()
				s.crash(id)
				s.schedule(3*time.Second, func() { s.start(s.nodes[id]) })
			case 1:
				id := []model.InstanceID{"edge-a1", "edge-b2", "edge-c1"}[s.rng.IntN(3)]
				disturbed[id] = true
				s.crash(id)
				s.start(s.nodes[id])
			case 2:
				id := []model.InstanceID{"edge-a2", "edge-b1", "edge-c2"}[s.rng.IntN(3)]
				s.partition([]model.InstanceID{id}, s.order, true)
				s.schedule(2*time.Second, func() { s.partition([]model.InstanceID{id}, s.order, false) })
			}
			sent = append(sent, s.press(5*time.Second, limit, excused)...)
			clear(disturbed)
		}
		Expect(float64(mostInWindow(sent))).To(BeNumerically("<=", 1.5*limit*limitWindow.Seconds()+5), "seed %d", seed)
		Expect(float64(len(sent))).To(BeNumerically(">=", 0.5*limit*25), "seed %d", seed)
	}
}
