package simulation

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// arrive sends a request to a random instance.
func (s *sim) arrive() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.chance(30) {
		n = s.nodes[0]
	}
	service := s.config.Services[s.rng.IntN(4)].Name
	if s.chance(20) {
		service = "reads"
	}
	s.request(n, service)
}

// request sends a request to an instance that is up and takes callers.
func (s *sim) request(n *node, service model.ServiceName) {
	if n.state == nil || n.state.HandingOver() {
		return
	}
	s.nextID++
	method := "GET"
	if service == "writes" {
		method = "POST"
	}
	key := requestID{n.id, n.incarnation, s.nextID}
	s.requests[key] = &call{idempotent: method == "GET"}
	ev := event.RequestArrived{ID: s.nextID, Service: service, Method: method, Replayable: true,
		Tenant: model.Tenant([]string{"x", "y", "z"}[s.rng.IntN(3)])}
	if s.chance(30) {
		ev.Timeout = s.between(50*time.Millisecond, shortDeadline)
	}
	s.step(n, ev)
	if s.chance(5) {
		s.after(s.between(0, 300*time.Millisecond), func() {
			if n.incarnation == key.incarnation {
				s.step(n, event.RequestCanceled{ID: key.id})
			}
		})
	}
}

func (s *sim) finish(key requestID, code result.Code) {
	r := s.requests[key]
	if r.ended {
		s.violation("request %d ended twice", key.id)
	}
	r.ended = true
	r.notRun = code.Class() == result.NotRun
}

// check reports what can be seen only at the end.
func (s *sim) check() {
	for key, r := range s.requests {
		if r.notRun && r.runs > 0 {
			s.violation("request %d of %s was told not run and ran", key.id, key.node)
		}
		if !r.idempotent && r.runs > 1 {
			s.violation("request %d of %s ran %d times", key.id, key.node, r.runs)
		}
		if !r.ended && !r.lost {
			s.violation("request %d of %s has not ended", key.id, key.node)
		}
	}
}
