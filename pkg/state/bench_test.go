package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// newBenchState returns the state of an instance that owns 1,000 upstreams of one
// service, and a time at which the next event may occur. The upstreams are in slow
// start, so each one gets only one request at a time.
func newBenchState() (*State, model.Time) {
	s := New(Identity{ID: "i", Zone: "z", Seed: 1}, nil)
	at := model.Time(time.Hour)
	step := func(b event.Body) { s.Step(event.Event{At: at, Body: b}) }
	step(event.Started{})
	step(event.ConfigLoaded{Config: model.Config{Version: 1,
		Zones:    []model.ZoneInfo{{Zone: "z", Region: "r"}},
		Roster:   []model.RosterEntry{{ID: "i", Zone: "z"}},
		Profiles: []model.Profile{{Name: "p", Repeat: model.RetryIdempotent, MaxAttempts: 3, Hedge: true, DeadlineMs: 3000, QueueLimit: 500, Spill: model.SpillAny}},
		Services: []model.Service{{Name: "tabview", Profile: "p"}}}})
	for _, first := range []bool{true, false} {
		for i := range 1000 {
			step(event.UpstreamAnnounced{Announcement: model.Announcement{
				Upstream: model.UpstreamID(fmt.Sprintf("u%03d", i)), Incarnation: 1, Service: "tabview", Zone: "z",
				Address: "a:80", Slots: 3, MaxConnections: 100, State: model.Serving, First: first}})
		}
		at = at.Add(500 * time.Millisecond)
	}
	return s, at
}

// BenchmarkRequest measures the three steps of one request: its arrival, which
// dispatches it, the response headers, and the end of the response. The target is
// less than 2 us per step.
func BenchmarkRequest(b *testing.B) {
	s, at := newBenchState()
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		id := model.RequestID(n + 1)
		effects := s.Step(event.Event{At: at, Body: event.RequestArrived{ID: id, Service: "tabview", Tenant: "house", Method: "GET", Replayable: true}})
		attempt := dispatchedAttempt(b, effects)
		s.Step(event.Event{At: at, Body: event.AttemptAnswered{Request: id, Attempt: attempt, Status: 200}})
		s.Step(event.Event{At: at, Body: event.AttemptEnded{Request: id, Attempt: attempt}})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(3*b.N), "ns/step")
}

// dispatchedAttempt returns the attempt of the first Dispatch effect.
func dispatchedAttempt(b *testing.B, effects []event.Effect) model.AttemptID {
	for _, e := range effects {
		if d, ok := e.(event.Dispatch); ok {
			return d.Attempt
		}
	}
	b.Fatalf("no dispatch in %v", effects)
	return model.AttemptID{}
}

// BenchmarkQueued measures the arrival and the cancellation of a request that finds
// no free slot while 400 other requests wait.
func BenchmarkQueued(b *testing.B) {
	s, at := newBenchState()
	arrive := func(id model.RequestID) {
		s.Step(event.Event{At: at, Body: event.RequestArrived{ID: id, Service: "tabview", Tenant: "house", Method: "GET", Replayable: true}})
	}
	for n := range 1400 {
		arrive(model.RequestID(n + 1))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		id := model.RequestID(n + 10_000)
		arrive(id)
		s.Step(event.Event{At: at, Body: event.RequestCanceled{ID: id}})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/step")
}
