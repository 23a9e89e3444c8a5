package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// executeSteps executes each step of the scenario when its time has come. Then it
// waits until all restarts of instances have finished.
func (r *runner) executeSteps(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for _, step := range r.scenario.steps {
		if !r.waitUntil(ctx, step.At) {
			return
		}
		r.execute(step.Action, &restarts)
	}
}

// execute applies an action to the deployment. It does not wait for the restart of
// an instance, which runs in a new goroutine. The wait group restarts counts these
// goroutines.
func (r *runner) execute(action Action, restarts *sync.WaitGroup) {
	d := r.deployment
	switch a := action.(type) {
	case SlowUpstreams:
		r.forEachUpstream(a.Upstreams, func(u *fake.Upstream) { u.SetSlowdown(a.Factor) })
	case SetLoadReports:
		r.forEachUpstream(a.Upstreams, func(u *fake.Upstream) { u.SetAnnouncementFaults(a.Reports) })
	case ClearCaches:
		for _, u := range d.Upstreams {
			if u.Service() == a.Service && u.Region() == a.Region {
				u.EmptyCache(a.Cold)
			}
		}
	case DrainUpstream:
		r.drainedAt[a.Upstream] = time.Now()
		d.Upstream(a.Upstream).Drain()
		r.progress("drain of %s", a.Upstream)
	case ShiftTraffic:
		d.ApplyConfig(func(c *model.Config) { c.Shifts = append(c.Shifts, a.Shift) })
		r.progress("shift of %s from %s to %s", a.Shift.Service, a.Shift.From, a.Shift.To)
	case KillRegion:
		r.progress("loss of %s", a.Region)
		d.KillRegion(a.Region)
	case RestartInstance:
		r.progress("restart of %s", a.Instance)
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			if err := d.Restart(a.Instance); err != nil {
				d.RecordViolation(err.Error())
			}
		}()
	}
}

// forEachUpstream calls apply for each upstream in the list.
func (r *runner) forEachUpstream(ids []model.UpstreamID, apply func(*fake.Upstream)) {
	for _, id := range ids {
		apply(r.deployment.Upstream(id))
	}
}

// progress prints a progress line with the deployment, the scenario and the seed.
func (r *runner) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "%s %s seed %d: %s\n", r.options.Deployment, r.options.Scenario, r.seed, fmt.Sprintf(format, args...))
}
