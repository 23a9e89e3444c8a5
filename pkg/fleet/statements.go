package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// upstreamStated handles a statement of an upstream that it is leaving or wants a
// pause. That it is leaving is passed on with its registration; a pause concerns
// this instance only.
func (s *State) upstreamStated(at model.Time, b event.UpstreamStated) {
	if reg, changed := s.registry.MarkLeaving(b.Upstream, b.StartMs, b.Statement.Leaving); changed {
		s.logStatement(b.Upstream, b.StartMs, logevent.F("leaving", true))
		s.replica.Push(at, message.Records{Registrations: []model.Registration{reg}}, &s.out)
	}
	if pause := b.Statement.Pause; pause > 0 && s.balance.Pause(b.Upstream, b.StartMs, at.Add(pause)) {
		s.logStatement(b.Upstream, b.StartMs, logevent.F("pause_ms", pause.Milliseconds()), logevent.F("until", int64(at.Add(pause))))
	}
}

// logStatement logs a statement that changes what this instance assumes of an
// upstream.
func (s *State) logStatement(id model.UpstreamID, startMs int64, fields ...logevent.Field) {
	s.out.Add(event.Log{Code: logevent.UpstreamStated, Fields: append([]logevent.Field{
		logevent.F("upstream", id), logevent.F("born", startMs)}, fields...)})
}

// constraintsInterval is the shortest interval at which the metrics of constrained
// upstreams are updated. It takes a look at all upstreams.
const constraintsInterval = time.Second

// publishConstraints updates the metrics of the upstreams that receive no or fewer
// requests because of their statements, by service.
func (s *State) publishConstraints(at model.Time) {
	if at < s.constraintsAt {
		return
	}
	s.constraintsAt = at.Add(constraintsInterval)
	leaving := map[model.ServiceName]int{}
	services := map[model.ServiceName]bool{}
	for _, r := range s.registry.Registrations(at) {
		services[r.Service] = true
		if r.Leaving && r.State != model.RegistrationDeregistered {
			leaving[r.Service]++
		}
	}
	if s.constraints == nil {
		s.constraints = map[model.ServiceName]constraints{}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		c := s.balance.Constraints(at, name)
		latest := constraints{leaving: leaving[name], paused: c.Paused, limited: c.Limited}
		if latest == s.constraints[name] {
			continue
		}
		s.constraints[name] = latest
		for _, g := range []event.SetGauge{
			{Gauge: event.UpstreamsLeaving, Service: name, Value: latest.leaving},
			{Gauge: event.UpstreamsPaused, Service: name, Value: latest.paused},
			{Gauge: event.UpstreamsLimited, Service: name, Value: latest.limited},
		} {
			s.out.Add(g)
		}
	}
}

// constraints are the published numbers of upstreams of a service that are
// leaving, paused or limited.
type constraints struct{ leaving, paused, limited int }
