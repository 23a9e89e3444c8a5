package simulation

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// sendRandomRequest sends a request for a random service to a random instance.
func (s *sim) sendRandomRequest() {
	inst := s.instances[s.rng.IntN(len(s.instances))]
	if s.chance(30) {
		inst = s.instances[0]
	}
	service := s.config.Services[s.rng.IntN(4)].Name
	if s.chance(20) {
		service = "reads"
	}
	s.sendRequest(inst, service)
}

// sendRequest sends a request to an instance. It does nothing if the instance
// is down, or is handing over its upstreams and accepts no requests.
func (s *sim) sendRequest(inst *instance, service model.ServiceName) {
	if inst.state == nil || inst.state.HandingOver() {
		return
	}
	s.nextID++
	method := "GET"
	if service == "writes" {
		method = "POST"
	}
	key := requestID{inst.id, inst.incarnation, s.nextID}
	s.requests[key] = &callerRequest{idempotent: method == "GET"}
	arrived := event.RequestArrived{ID: s.nextID, Service: service, Method: method, Replayable: true,
		Tenant: model.Tenant([]string{"x", "y", "z"}[s.rng.IntN(3)])}
	if s.chance(30) {
		arrived.Timeout = s.randomDuration(50*time.Millisecond, shortTimeout)
	}
	s.step(inst, arrived)
	if s.chance(5) {
		s.after(s.randomDuration(0, 300*time.Millisecond), func() {
			if inst.incarnation == key.incarnation {
				s.step(inst, event.RequestCanceled{ID: key.id})
			}
		})
	}
}

// finishRequest records the result of a request that an instance answers itself.
func (s *sim) finishRequest(key requestID, code result.Code) {
	request := s.requests[key]
	if request.ended {
		s.recordViolation("request %d ended twice", key.id)
	}
	request.ended = true
	request.reportedNotExecuted = code.Class() == result.NotRun
}

// checkRequests records the violations that can only be detected at the end of a
// schedule.
func (s *sim) checkRequests() {
	for key, request := range s.requests {
		if request.reportedNotExecuted && request.executions > 0 {
			s.recordViolation("request %d of %s was reported not executed and was executed", key.id, key.instance)
		}
		if !request.idempotent && request.executions > 1 {
			s.recordViolation("request %d of %s was executed %d times", key.id, key.instance, request.executions)
		}
		if !request.ended && !request.instanceCrashed {
			s.recordViolation("request %d of %s has not ended", key.id, key.instance)
		}
	}
}
