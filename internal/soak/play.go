package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/platform/standin"
)

// play carries out a step and undoes it after its time.
func (r *run) play(ctx context.Context, s Step) {
	entry := r.entries[s.Target%len(r.entries)]
	control := r.controls[s.Target%len(r.controls)]
	switch s.Kind {
	case KillEntry:
		r.kill(ctx, entry, nil)
	case KillControl:
		r.kill(ctx, control, nil)
	case KillAll:
		for _, p := range append(append([]*process(nil), r.entries...), r.controls...) {
			r.busy.Add(1)
			go func() { defer r.busy.Done(); r.kill(ctx, p, nil) }()
		}
	case WipeControl:
		r.kill(ctx, control, control.wipe)
	case TearFile:
		r.kill(ctx, control, control.tear)
	case PauseEntry:
		r.pause(ctx, entry, s.For)
	case PauseControl:
		r.pause(ctx, control, s.For)
	case StopEntry:
		r.stop(ctx, entry)
	case StopControl:
		r.ledger.Fault()
		r.stop(ctx, control)
	case Reload:
		entry.signal(syscall.SIGHUP)
		control.signal(syscall.SIGHUP)
	case DelayLink:
		r.harm(ctx, s, Delayed)
	case ResetLink:
		r.harm(ctx, s, Reset)
	case SilenceLink:
		r.harm(ctx, s, Silenced)
	case CutAnswers:
		r.harm(ctx, s, OneWay)
	case CrashUpstream:
		r.crash(ctx, s)
	case DrainUpstream:
		r.drain(ctx, s)
	case ChangeRoute:
		r.change(ctx, s.Target, r.nextRoute())
	case ResendChange:
		r.mu.Lock()
		last := r.last
		r.mu.Unlock()
		r.change(ctx, s.Target, last)
	case RaceChange:
		for i := range 2 {
			route := r.nextRoute()
			r.busy.Add(1)
			go func() { defer r.busy.Done(); r.change(ctx, s.Target+i, route) }()
		}
	case EvacuateZone:
		zone := zones[s.Target%len(zones)]
		r.order(ctx, func(i int) int { return r.operator.Evacuate(ctx, r.controlAddress(s.Target+i), zone, true) })
		sleep(ctx, s.For)
		r.order(ctx, func(i int) int { return r.operator.Evacuate(ctx, r.controlAddress(s.Target+i), zone, false) })
	}
}

// kill ends a program and starts it again. between is done while it is down.
func (r *run) kill(ctx context.Context, p *process, between func() error) {
	p.turn.Lock()
	defer p.turn.Unlock()
	r.ledger.Fault()
	p.signal(syscall.SIGKILL)
	p.wait(stopGrace)
	r.restart(ctx, p, between)
}

// stop ends a program as planned and starts it again.
func (r *run) stop(ctx context.Context, p *process) {
	p.turn.Lock()
	defer p.turn.Unlock()
	p.signal(syscall.SIGTERM)
	if !p.wait(stopGrace) && !p.wasHarmed() {
		r.ledger.violateNow("STOP: %s was still there %v after SIGTERM", p.node.Name, stopGrace)
	}
	r.restart(ctx, p, nil)
}

func (r *run) restart(ctx context.Context, p *process, between func() error) {
	sleep(ctx, restartDelay)
	if between != nil {
		if err := between(); err != nil {
			r.ledger.violateNow("SOAK: %s: %v", p.node.Name, err)
		}
	}
	if err := p.start(""); err != nil {
		r.ledger.violateNow("SOAK: %v", err)
	}
	r.ledger.Fault()
}

func (r *run) pause(ctx context.Context, p *process, d time.Duration) {
	r.ledger.Fault()
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(syscall.SIGCONT)
	r.ledger.Fault()
}

// harm lets the proxy of an upstream disturb its connections.
func (r *run) harm(ctx context.Context, s Step, f Fault) {
	r.mu.Lock()
	proxy := r.servers[s.Target%len(r.servers)].proxy
	r.mu.Unlock()
	r.ledger.Fault()
	proxy.Set(f)
	sleep(ctx, s.For)
	proxy.Set(NoFault)
	r.ledger.Fault()
}

// crash ends an upstream without notice; it starts again under its old id.
func (r *run) crash(ctx context.Context, s Step) {
	old := r.takeServer(s.Target)
	r.ledger.Fault()
	old.cancel()
	old.up.Crash()
	old.proxy.Close()
	sleep(ctx, s.For)
	if err := r.addServer(ctx, old.up.Service, old.up.Zone, old.up.ID); err != nil {
		r.ledger.violateNow("SOAK: %v", err)
	}
}

// drain replaces an upstream: the new one starts first, the old one drains,
// serves for a while, and leaves.
func (r *run) drain(ctx context.Context, s Step) {
	old := r.takeServer(s.Target)
	if err := r.addServer(ctx, old.up.Service, old.up.Zone, ""); err != nil {
		r.ledger.violateNow("SOAK: %v", err)
	}
	old.up.Drain()
	if r.order(ctx, func(i int) int {
		if old.up.Heartbeat(ctx, r.controlAddress(s.Target+i)) {
			return http.StatusOK
		}
		return 0
	}) {
		r.ledger.Left(old.up.ID)
	}
	sleep(ctx, leaveDelay)
	old.cancel()
	r.order(ctx, func(i int) int {
		if old.up.Deregister(ctx, r.controlAddress(s.Target+i)) {
			return http.StatusOK
		}
		return 0
	})
	old.up.Crash()
	old.proxy.Close()
}

// nextRoute returns the next version of the route that moves.
func (r *run) nextRoute() standin.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	route := r.last
	route.Version = r.version
	route.Service = services[r.version%2]
	r.last = route
	return route
}

// change sends a route until it is acknowledged.
func (r *run) change(ctx context.Context, first int, route standin.Route) {
	r.ledger.Proposed(route.Name, route.Version, route.Service)
	if r.order(ctx, func(i int) int {
		return r.operator.Patch(ctx, r.controlAddress(first+i), []standin.Route{route}, nil)
	}) {
		r.ledger.Acked(route.Name, route.Version)
	}
}

// order sends an order to one control process after the other until it has a
// clear answer, and reports whether it was accepted. A proper order is never
// refused.
func (r *run) order(ctx context.Context, send func(i int) int) bool {
	until := time.Now().Add(recoverTimeout)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		status := send(i)
		switch {
		case status/100 == 2:
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			r.ledger.violateNow("CONFIG: a proper order was refused with %d", status)
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}
