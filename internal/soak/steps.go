package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/platform/standin"
)

// executeStep executes a step and ends its fault after the step's duration.
func (r *run) executeStep(ctx context.Context, step Step) {
	entry := r.entries[step.Target%len(r.entries)]
	control := r.controls[step.Target%len(r.controls)]
	switch step.Kind {
	case KillEntry:
		r.kill(ctx, entry, nil)
	case KillControl:
		r.kill(ctx, control, nil)
	case KillAll:
		for _, p := range append(append([]*process(nil), r.entries...), r.controls...) {
			r.activeSteps.Add(1)
			go func() { defer r.activeSteps.Done(); r.kill(ctx, p, nil) }()
		}
	case WipeControl:
		r.kill(ctx, control, control.wipeData)
	case TearFile:
		r.kill(ctx, control, control.tearNewestFile)
	case PauseEntry:
		r.pause(ctx, entry, step.Duration)
	case PauseControl:
		r.pause(ctx, control, step.Duration)
	case StopEntry:
		r.stop(ctx, entry)
	case StopControl:
		r.checker.FaultInjected()
		r.stop(ctx, control)
	case Reload:
		entry.signal(syscall.SIGHUP)
		control.signal(syscall.SIGHUP)
	case DelayLink:
		r.injectConnectionFault(ctx, step, Delayed)
	case ResetLink:
		r.injectConnectionFault(ctx, step, Reset)
	case SilenceLink:
		r.injectConnectionFault(ctx, step, Blackholed)
	case CutAnswers:
		r.injectConnectionFault(ctx, step, ResponsesDropped)
	case CrashUpstream:
		r.crashUpstream(ctx, step)
	case DrainUpstream:
		r.replaceUpstream(ctx, step)
	case ChangeRoute:
		r.sendRoute(ctx, step.Target, r.nextRouteVersion())
	case ResendChange:
		r.mu.Lock()
		lastRoute := r.lastRoute
		r.mu.Unlock()
		r.sendRoute(ctx, step.Target, lastRoute)
	case RaceChange:
		for i := range 2 {
			route := r.nextRouteVersion()
			r.activeSteps.Add(1)
			go func() { defer r.activeSteps.Done(); r.sendRoute(ctx, step.Target+i, route) }()
		}
	case ReplaceControl:
		r.kill(ctx, control, func() error { return r.replaceControl(control) })
	case StateLeaving, StatePause, StateLimit:
		r.stateUpstream(ctx, step)
	case HoldOrders:
		r.holdOrders(ctx, step)
	case EvacuateZone:
		r.evacuate(ctx, step)
	}
}

// holdOrders holds up the orders to some of the control processes, those whose bit is set in
// the target of the step.
func (r *run) holdOrders(ctx context.Context, step Step) {
	r.holdMu.Lock()
	defer r.holdMu.Unlock()
	for _, fault := range []ConnectionFault{Held, NoFault} {
		for i, proxy := range r.orders {
			if step.Target>>i&1 == 1 {
				proxy.SetFault(fault)
			}
		}
		if fault == Held {
			sleep(ctx, step.Duration)
		}
	}
}

// evacuate starts and ends the evacuation of a zone. Half of the steps start and end it
// once more, and then it lasts long enough for its effect to be checked.
func (r *run) evacuate(ctx context.Context, step Step) {
	zone := zones[step.Target%len(zones)]
	r.mu.Lock()
	busy := r.evacuating
	r.evacuating = true
	r.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.evacuating = false
	}()
	order := func(start bool) {
		if !start {
			r.checker.EvacuationEnds(zone)
		}
		if r.sendUntilAnswered(ctx, func(i int) int { return r.operator.Evacuate(ctx, r.orderAddress(step.Target+i), zone, start) }) && start {
			r.checker.EvacuationAcked(zone)
		}
	}
	order(true)
	sleep(ctx, step.Duration)
	order(false)
	if step.Target%2 == 0 {
		sleep(ctx, step.Duration/8)
		order(true)
		sleep(ctx, maxEvacuationDelay+2*time.Second)
		order(false)
	}
}

// kill kills a process, calls whileDown unless nil, and restarts the process.
func (r *run) kill(ctx context.Context, p *process, whileDown func() error) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	r.checker.FaultInjected()
	p.signal(syscall.SIGKILL)
	p.waitForExit(stopGracePeriod)
	r.restart(ctx, p, whileDown)
}

// stop stops a process gracefully and restarts it.
func (r *run) stop(ctx context.Context, p *process) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.signal(syscall.SIGTERM)
	if !p.waitForExit(stopGracePeriod) && !p.wasKilledOrPaused() {
		r.checker.addViolation("STOP: %s was still running %v after SIGTERM", p.node.Name, stopGracePeriod)
	}
	r.restart(ctx, p, nil)
}

// restart starts an exited process again. The caller holds p.restartMu.
func (r *run) restart(ctx context.Context, p *process, whileDown func() error) {
	sleep(ctx, restartDelay)
	if whileDown != nil {
		if err := whileDown(); err != nil {
			r.checker.addViolation("SOAK: %s: %v", p.node.Name, err)
		}
	}
	if err := p.start(""); err != nil {
		r.checker.addViolation("SOAK: %v", err)
	}
	r.checker.FaultInjected()
}

func (r *run) pause(ctx context.Context, p *process, duration time.Duration) {
	r.checker.FaultInjected()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	p.signal(syscall.SIGCONT)
	r.checker.FaultInjected()
}

// injectConnectionFault injects a fault for the duration of the step.
func (r *run) injectConnectionFault(ctx context.Context, step Step, fault ConnectionFault) {
	r.mu.Lock()
	proxy := r.upstreams[step.Target%len(r.upstreams)].proxy
	r.mu.Unlock()
	r.checker.FaultInjected()
	proxy.SetFault(fault)
	sleep(ctx, step.Duration)
	proxy.SetFault(NoFault)
	r.checker.FaultInjected()
}

// crashUpstream closes an upstream without draining it, and starts it again
// with the same id.
func (r *run) crashUpstream(ctx context.Context, step Step) {
	old := r.takeUpstream(step.Target)
	r.checker.FaultInjected()
	old.stopHeartbeats()
	old.upstream.Crash()
	old.proxy.Close()
	sleep(ctx, step.Duration)
	if err := r.addUpstream(ctx, old.upstream.Service, old.upstream.Zone, old.upstream.ID); err != nil {
		r.checker.addViolation("SOAK: %v", err)
	}
}

// replaceControl makes a control process that is down start as a new instance, with
// an empty data folder, at a new address.
func (r *run) replaceControl(p *process) error {
	r.mu.Lock()
	r.instances++
	index := r.instances
	r.mu.Unlock()
	node := p.node
	defer func() { r.redirectOrders(p) }()
	node.Name, node.IP, node.Bootstrap = fmt.Sprintf("c%d", index), processIP(index), false
	node.DataDir = filepath.Join(r.options.Folder, fmt.Sprintf("data%d", index))
	node.Seeds = nil
	for _, other := range r.controls {
		if other != p {
			node.Seeds = append(node.Seeds, other.ip())
		}
	}
	p.replaceBy(node, node.SettingsFile(r.ports, regions))
	return os.MkdirAll(node.DataDir, 0o700)
}

// redirectOrders makes the operator reach a control process at its new address.
func (r *run) redirectOrders(p *process) {
	for i, control := range r.controls {
		if control == p {
			r.orders[i].SetTarget(r.controlAddress(i))
		}
	}
}

const (
	// statedLimit is the request limit that upstreams state, in requests per second.
	statedLimit = 6.0
	// limitDuration is how long they state it.
	limitDuration = 10 * time.Second
)

// stateUpstream makes an upstream state that it leaves, wants a pause or limits its
// requests. An upstream that leaves is replaced.
func (r *run) stateUpstream(ctx context.Context, step Step) {
	r.mu.Lock()
	upstream := r.upstreams[step.Target%len(r.upstreams)].upstream
	isStating := r.stating[upstream.ID]
	r.stating[upstream.ID] = true
	r.mu.Unlock()
	if isStating {
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.stating, upstream.ID)
	}()
	switch step.Kind {
	case StateLeaving:
		old := r.takeUpstream(step.Target)
		if err := r.addUpstream(ctx, old.upstream.Service, old.upstream.Zone, ""); err != nil {
			r.checker.addViolation("SOAK: %v", err)
		}
		r.checker.LeavingStated(old.upstream.ID)
		old.upstream.State(fake.Statement{Leaving: true})
		sleep(ctx, deregisterDelay)
		old.stopHeartbeats()
		old.upstream.Crash()
		old.proxy.Close()
	case StatePause:
		until := time.Now().Add(step.Duration)
		r.checker.PauseStated(upstream.ID, until, maxInPause*len(r.entries))
		upstream.State(fake.Statement{PausedUntil: until})
		sleep(ctx, step.Duration)
	case StateLimit:
		r.checker.LimitStated(upstream.ID, statedLimit, time.Now().Add(limitDuration))
		upstream.State(fake.Statement{RequestLimit: statedLimit})
		sleep(ctx, limitDuration)
		upstream.State(fake.Statement{})
	}
}

// replaceUpstream starts a new upstream, drains the old one, lets it serve for
// deregisterDelay, and deregisters it.
func (r *run) replaceUpstream(ctx context.Context, step Step) {
	old := r.takeUpstream(step.Target)
	if err := r.addUpstream(ctx, old.upstream.Service, old.upstream.Zone, ""); err != nil {
		r.checker.addViolation("SOAK: %v", err)
	}
	old.upstream.Drain()
	if r.sendUntilAnswered(ctx, func(i int) int {
		if old.upstream.Heartbeat(ctx, r.controlAddress(step.Target+i)) {
			return http.StatusOK
		}
		return 0
	}) {
		r.checker.DrainAcked(old.upstream.ID)
	}
	sleep(ctx, deregisterDelay)
	old.stopHeartbeats()
	r.sendUntilAnswered(ctx, func(i int) int {
		if old.upstream.Deregister(ctx, r.controlAddress(step.Target+i)) {
			return http.StatusOK
		}
		return 0
	})
	old.upstream.Crash()
	old.proxy.Close()
}

// nextRouteVersion returns the next version of the read route.
func (r *run) nextRouteVersion() standin.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routeVersion++
	route := r.lastRoute
	route.Version = r.routeVersion
	route.Service = services[r.routeVersion%2]
	r.lastRoute = route
	return route
}

// sendRoute sends a route until it is acknowledged.
func (r *run) sendRoute(ctx context.Context, firstControl int, route standin.Route) {
	r.checker.VersionProposed(route.Name, route.Version, route.Service)
	if r.sendUntilAnswered(ctx, func(i int) int {
		return r.operator.Patch(ctx, r.orderAddress(firstControl+i), []standin.Route{route}, nil)
	}) {
		r.checker.VersionAcked(route.Name, route.Version)
	}
}

// sendUntilAnswered sends a command to one control process after the other until
// the command is accepted or rejected, and reports whether it was accepted. send
// makes attempt i and returns its status. A rejection is a violation: commands
// are valid.
func (r *run) sendUntilAnswered(ctx context.Context, send func(i int) int) bool {
	deadline := time.Now().Add(recoveryTimeout)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		status := send(i)
		switch {
		case status/100 == 2:
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			r.checker.addViolation("CONFIG: a valid command was rejected with status %d", status)
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}
