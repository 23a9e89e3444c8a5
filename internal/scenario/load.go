package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// loadInterval is the pause between the requests of a load.
const loadInterval = 10 * time.Millisecond

// load is a caller that sends requests until the script asks for its result.
type load struct {
	stop   context.CancelFunc
	done   chan struct{}
	sent   int
	failed []string
}

// startLoad runs a caller in a zone that follows look-ups.
func (d *deployment) startLoad(name, method, service string, o map[string]string) error {
	var seeds []string
	for _, i := range d.instances {
		if i.zone == o["zone"] {
			seeds = append([]string{i.address()}, seeds...)
		} else {
			seeds = append(seeds, i.address())
		}
	}
	if len(seeds) == 0 {
		return fmt.Errorf("no instances")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.loads[name] = l
	d.mu.Unlock()
	caller := fake.NewCaller(fake.CallerOptions{Name: name, Zone: model.Zone(o["zone"]), Seeds: seeds})
	go func() {
		defer close(l.done)
		defer caller.Close()
		for ctx.Err() == nil {
			l.send(ctx, caller, model.Zone(o["zone"]), name, method, model.ServiceName(service))
			time.Sleep(loadInterval)
		}
	}()
	return nil
}

func (l *load) send(ctx context.Context, c *fake.Caller, zone model.Zone, name, method string, service model.ServiceName) {
	to, err := c.Instance(ctx, service)
	if err != nil {
		if ctx.Err() == nil {
			l.failed = append(l.failed, "lookup: "+err.Error())
		}
		return
	}
	l.sent++
	q := fake.Request{Service: service, Tenant: "load", Method: method, Token: fmt.Sprintf("%s-%d", name, l.sent), ResponseBytes: defaultSize}
	if method == http.MethodPost {
		now := model.Time(time.Now().UnixNano())
		q.IdempotencyKey = model.FormatKey(zone, now, fmt.Sprintf("%s%08d", name, l.sent))
		q.Token = q.IdempotencyKey
	}
	if reply := c.Do(context.Background(), to, q); reply.Outcome != fake.Answered {
		l.failed = append(l.failed, fmt.Sprintf("request %d at %s: outcome %d code %q", l.sent, to.ID, reply.Outcome, reply.Code))
	}
}

// loaded ends a load; every request of it must have been answered.
func (d *deployment) loaded(name string) error {
	d.mu.Lock()
	l := d.loads[name]
	d.mu.Unlock()
	if l == nil {
		return fmt.Errorf("no load %q", name)
	}
	l.stop()
	<-l.done
	if len(l.failed) > 0 || l.sent == 0 {
		return fmt.Errorf("load %s: %d of %d requests failed: %v", name, len(l.failed), l.sent, l.failed[:min(len(l.failed), 5)])
	}
	return nil
}

// sequence sends requests one after the other: calls N METHOD SERVICE at=...
// With within and most, at least most of them must take no longer than within;
// with eventually, the first failures within that time are passed over.
func sequence(ts *testscript.TestScript, d *deployment, args []string) error {
	o, err := options(args[3:])
	if err != nil {
		return err
	}
	to, err := d.instance(o["at"])
	if err != nil {
		return err
	}
	var n, most int
	var within, eventually time.Duration
	if err := parseInt(map[string]string{"count": args[0]}, "count", &n); err != nil {
		return err
	}
	most = n
	if err := parseInt(o, "most", &most); err != nil {
		return err
	}
	if err := parseDuration(o, "within", &within); err != nil {
		return err
	}
	if err := parseDuration(o, "eventually", &eventually); err != nil {
		return err
	}
	caller := fake.NewCaller(fake.CallerOptions{Name: "sequence", Zone: model.Zone(to.zone), Seeds: []string{to.address()}})
	defer caller.Close()
	limit := time.Now().Add(eventually)
	fast := 0
	for k := 0; k < n; {
		start := time.Now()
		token := fmt.Sprintf("sequence-%d-%d", start.UnixNano(), k)
		q := fake.Request{Service: model.ServiceName(args[2]), Method: args[1], Tenant: "scenario", Token: token, ResponseBytes: defaultSize}
		reply := caller.Do(context.Background(), view.Instance{Address: to.address()}, q)
		if reply.Outcome != fake.Answered {
			if k == 0 && time.Now().Before(limit) {
				continue
			}
			return fmt.Errorf("call %d: outcome %d code %q", k, reply.Outcome, reply.Code)
		}
		if within == 0 || time.Since(start) <= within {
			fast++
		}
		k++
	}
	if fast < most {
		return fmt.Errorf("%d of %d calls were answered within %v, want %d", fast, n, within, most)
	}
	ts.Logf("%d calls answered", n)
	return nil
}

// lookup asks an instance until its answer matches.
func lookup(_ *testscript.TestScript, d *deployment, args []string) error {
	at, err := d.instance(args[2])
	if err != nil {
		return err
	}
	return awaitMatch(args[0], args[1], func() (string, error) { return instanceNames(at.address(), args[3]) })
}

// instanceNames returns the identifiers that a lookup names, separated by
// spaces.
func instanceNames(address, service string) (string, error) {
	resp, err := http.Get("http://" + address + "/v1/lookup?service=" + service)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	names := ""
	for _, m := range idPattern.FindAllStringSubmatch(string(body), -1) {
		names += m[1] + " "
	}
	return names, nil
}

var idPattern = regexp.MustCompile(`"id":"([^"]*)"`)
