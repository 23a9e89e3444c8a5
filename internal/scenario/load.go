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

// load sends requests in the background until finishLoad. sent and failures may
// be read once done is closed.
type load struct {
	cancel   context.CancelFunc
	done     chan struct{}
	sent     int
	failures []string
}

// startLoad starts a load whose fake caller is in the given zone. The caller
// sends its lookups to the instances of the zone first.
func (d *deployment) startLoad(name, method, service string, options map[string]string) error {
	var seeds []string
	for _, i := range d.instances {
		if i.zone == options["zone"] {
			seeds = append([]string{i.address()}, seeds...)
		} else {
			seeds = append(seeds, i.address())
		}
	}
	if len(seeds) == 0 {
		return fmt.Errorf("no instances")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.loads[name] = l
	d.mu.Unlock()
	caller := fake.NewCaller(fake.CallerOptions{Name: name, Zone: model.Zone(options["zone"]), Seeds: seeds})
	go func() {
		defer close(l.done)
		defer caller.Close()
		for ctx.Err() == nil {
			l.send(ctx, caller, model.Zone(options["zone"]), name, method, model.ServiceName(service))
			time.Sleep(loadInterval)
		}
	}()
	return nil
}

// send looks up an instance and sends one request to it. A POST request has a
// new idempotency key.
func (l *load) send(ctx context.Context, caller *fake.Caller, zone model.Zone, name, method string, service model.ServiceName) {
	target, err := caller.Instance(ctx, service)
	if err != nil {
		if ctx.Err() == nil {
			l.failures = append(l.failures, "lookup: "+err.Error())
		}
		return
	}
	l.sent++
	request := fake.Request{Service: service, Tenant: "load", Method: method, Token: fmt.Sprintf("%s-%d", name, l.sent), ResponseBytes: defaultBodyBytes}
	if method == http.MethodPost {
		now := model.Time(time.Now().UnixNano())
		request.IdempotencyKey = model.FormatKey(zone, now, fmt.Sprintf("%s%08d", name, l.sent))
		request.Token = request.IdempotencyKey
	}
	if reply := caller.Do(context.Background(), target, request); reply.Outcome != fake.Answered {
		l.failures = append(l.failures, fmt.Sprintf("request %d at %s: outcome %d code %q", l.sent, target.ID, reply.Outcome, reply.Code))
	}
}

// finishLoad stops a load. All its requests must have been answered.
func (d *deployment) finishLoad(name string) error {
	d.mu.Lock()
	l := d.loads[name]
	d.mu.Unlock()
	if l == nil {
		return fmt.Errorf("no load %q", name)
	}
	l.cancel()
	<-l.done
	if len(l.failures) > 0 || l.sent == 0 {
		return fmt.Errorf("load %s: %d of %d requests failed: %v", name, len(l.failures), l.sent, l.failures[:min(len(l.failures), 5)])
	}
	return nil
}

// sendSequence sends requests one after the other, all of which must be answered.
// If fastLimit is set, at least minFast of them must each be answered within that
// time. If the first request fails, it is sent again until retryFirstFor has
// passed.
func sendSequence(ts *testscript.TestScript, d *deployment, args []string) error {
	options, err := parseOptions(args[3:])
	if err != nil {
		return err
	}
	target, err := d.instance(options["at"])
	if err != nil {
		return err
	}
	var count, minFast int
	var fastLimit, retryFirstFor time.Duration
	if err := parseInt(map[string]string{"count": args[0]}, "count", &count); err != nil {
		return err
	}
	minFast = count
	if err := parseInt(options, "most", &minFast); err != nil {
		return err
	}
	if err := parseDuration(options, "within", &fastLimit); err != nil {
		return err
	}
	if err := parseDuration(options, "eventually", &retryFirstFor); err != nil {
		return err
	}
	caller := fake.NewCaller(fake.CallerOptions{Name: "sequence", Zone: model.Zone(target.zone), Seeds: []string{target.address()}})
	defer caller.Close()
	firstCallDeadline := time.Now().Add(retryFirstFor)
	fast := 0
	for k := 0; k < count; {
		start := time.Now()
		token := fmt.Sprintf("sequence-%d-%d", start.UnixNano(), k)
		request := fake.Request{Service: model.ServiceName(args[2]), Method: args[1], Tenant: "scenario", Token: token, ResponseBytes: defaultBodyBytes}
		reply := caller.Do(context.Background(), view.Instance{Address: target.address()}, request)
		if reply.Outcome != fake.Answered {
			if k == 0 && time.Now().Before(firstCallDeadline) {
				continue
			}
			return fmt.Errorf("call %d: outcome %d code %q", k, reply.Outcome, reply.Code)
		}
		if fastLimit == 0 || time.Since(start) <= fastLimit {
			fast++
		}
		k++
	}
	if fast < minFast {
		return fmt.Errorf("%d of %d calls were answered within %v, want %d", fast, count, fastLimit, minFast)
	}
	ts.Logf("%d calls answered", count)
	return nil
}

// awaitLookup repeats a lookup until the names of the instances that it returns
// match a pattern.
func awaitLookup(_ *testscript.TestScript, d *deployment, args []string) error {
	target, err := d.instance(args[2])
	if err != nil {
		return err
	}
	return awaitMatch(args[0], args[1], func() (string, error) { return instanceNames(target.address(), args[3]) })
}

// instanceNames returns the names of the instances that a lookup returns,
// separated by spaces.
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
	for _, m := range instanceIDPattern.FindAllStringSubmatch(string(body), -1) {
		names += m[1] + " "
	}
	return names, nil
}

// instanceIDPattern matches the identifier of an instance in a lookup result.
var instanceIDPattern = regexp.MustCompile(`"id":"([^"]*)"`)
