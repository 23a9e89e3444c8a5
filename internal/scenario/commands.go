package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Defaults of fake upstreams.
const (
	defaultSlots       = 3
	defaultConnections = 360
	defaultServiceTime = 20 * time.Millisecond
	defaultSize        = 512
)

// pollInterval is the pause between two looks at a program's output.
const pollInterval = 20 * time.Millisecond

type deploymentKey struct{}

// Params returns the parameters of a testscript run over the scripts in dir.
// binary is the folder of the built programs.
func Params(dir, binary string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			d := newDeployment(env.WorkDir, binary)
			env.Values[deploymentKey{}] = d
			env.Setenv("PATH", binary+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(d.close)
			return nil
		},
		Cmds: commands,
	}
}

// command adapts a function over the deployment to testscript.
func command(usage string, minArgs int, f func(ts *testscript.TestScript, d *deployment, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs {
			ts.Fatalf("usage: %s", usage)
		}
		if err := f(ts, ts.Value(deploymentKey{}).(*deployment), args); err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// each adapts a function of one instance or upstream to a list of names.
func each(f func(d *deployment, name string) error) func(*testscript.TestScript, *deployment, []string) error {
	return func(_ *testscript.TestScript, d *deployment, args []string) error {
		for _, name := range args {
			if err := f(d, name); err != nil {
				return err
			}
		}
		return nil
	}
}

func signal(s syscall.Signal) func(*testscript.TestScript, *deployment, []string) error {
	return each(func(d *deployment, name string) error { return d.signal(name, s) })
}

var commands = map[string]func(*testscript.TestScript, bool, []string){
	"deploy": command("deploy NAME[+disk]...", 1, func(ts *testscript.TestScript, d *deployment, args []string) error {
		if err := d.deploy(args); err != nil {
			return err
		}
		for _, i := range d.instances {
			ts.Setenv(strings.ReplaceAll(i.name, "-", "_"), i.address())
		}
		return nil
	}),
	"start": command("start NAME...", 1, func(_ *testscript.TestScript, d *deployment, args []string) error {
		return d.start(args)
	}),
	"crash":        command("crash NAME...", 1, signal(syscall.SIGKILL)),
	"freeze":       command("freeze NAME...", 1, signal(syscall.SIGSTOP)),
	"thaw":         command("thaw NAME...", 1, signal(syscall.SIGCONT)),
	"terminate":    command("terminate NAME...", 1, signal(syscall.SIGTERM)),
	"exited":       command("exited NAME...", 1, each((*deployment).exited)),
	"upstream":     command("upstream ID KEY=VALUE...", 2, startUpstream),
	"drain":        command("drain ID...", 1, onUpstream((*fake.Upstream).Drain)),
	"killupstream": command("killupstream ID...", 1, onUpstream((*fake.Upstream).Kill)),
	"slow":         command("slow ID FACTOR", 2, slow),
	"idle":         command("idle ID DURATION", 2, idle),
	"call": command("call NAME METHOD SERVICE at=INSTANCE ...", 4, func(_ *testscript.TestScript, d *deployment, args []string) error {
		o, err := options(args[3:])
		if err != nil {
			return err
		}
		return d.call(args[0], strings.ToUpper(args[1]), args[2], o)
	}),
	"running": command("running NAME...", 1, each((*deployment).running)),
	"result": command("result NAME OUTCOME [CODE]", 2, func(_ *testscript.TestScript, d *deployment, args []string) error {
		code := ""
		if len(args) > 2 {
			code = args[2]
		}
		return d.result(args[0], args[1], code)
	}),
	"runs": command("runs NAME COUNT", 2, func(_ *testscript.TestScript, d *deployment, args []string) error {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return d.runs(args[0], n)
	}),
	"calls":  command("calls COUNT METHOD SERVICE at=INSTANCE ...", 4, upper(sequence)),
	"lookup": command("lookup DURATION REGEXP INSTANCE SERVICE", 4, lookup),
	"load": command("load NAME METHOD SERVICE zone=ZONE", 4, func(_ *testscript.TestScript, d *deployment, args []string) error {
		o, err := options(args[3:])
		if err != nil {
			return err
		}
		return d.startLoad(args[0], strings.ToUpper(args[1]), args[2], o)
	}),
	"loaded": command("loaded NAME...", 1, each((*deployment).loaded)),
	"pause": command("pause DURATION", 1, func(_ *testscript.TestScript, _ *deployment, args []string) error {
		wait, err := time.ParseDuration(args[0])
		time.Sleep(wait)
		return err
	}),
	"changes": command("changes COUNT INSTANCE", 2, changes),
	"leader":  command("leader VARIABLE INSTANCE", 2, leader),
	"loseDisk": command("loseDisk NAME", 1, each(func(d *deployment, name string) error {
		return os.RemoveAll(filepath.Join(d.dir, "data-"+name))
	})),
	"await":  command("await DURATION REGEXP PROGRAM ARG...", 3, await),
	"newkey": command("newkey VARIABLE ZONE", 2, newKey),
}

// upper lets scripts write the HTTP method in lower case.
func upper(f func(*testscript.TestScript, *deployment, []string) error) func(*testscript.TestScript, *deployment, []string) error {
	return func(ts *testscript.TestScript, d *deployment, args []string) error {
		args[1] = strings.ToUpper(args[1])
		return f(ts, d, args)
	}
}

// leader puts the name of the leader, as an instance knows it, into a variable.
func leader(ts *testscript.TestScript, d *deployment, args []string) error {
	i, err := d.instance(args[1])
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		out, _ := d.program("anvilcrank", "status", "--instance", i.address(), "--json").Output()
		var status struct {
			Leader  string `json:"leader"`
			Current bool   `json:"current"`
		}
		if json.Unmarshal(out, &status) == nil && status.Current && status.Leader != "" {
			ts.Setenv(args[0], status.Leader)
			ts.Setenv(args[0]+"_address", d.addressOf(status.Leader))
			if other := d.memberBesides(status.Leader); other != nil {
				ts.Setenv("other", other.name)
				ts.Setenv("other_address", other.address())
			}
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s knows no leader after %v", args[1], readyTimeout)
}

// changes makes a number of changes one after the other.
func changes(_ *testscript.TestScript, d *deployment, args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	i, err := d.instance(args[1])
	if err != nil {
		return err
	}
	for k := range n {
		verb := []string{"add", "remove"}[k%2]
		out, err := d.program("anvilcrank", "drain", verb, "--instance", i.address(), "upstream", "nothing").CombinedOutput()
		if err != nil {
			return fmt.Errorf("change %d: %w: %s", k, err, out)
		}
	}
	return nil
}

// newKey puts a new idempotency key into a variable.
func newKey(ts *testscript.TestScript, _ *deployment, args []string) error {
	now := model.Time(time.Now().UnixNano())
	ts.Setenv(args[0], model.FormatKey(model.Zone(args[1]), now, fmt.Sprintf("%016x", now)))
	return nil
}

func startUpstream(_ *testscript.TestScript, d *deployment, args []string) error {
	o, err := options(args[1:])
	if err != nil {
		return err
	}
	at, err := d.instance(o["at"])
	if err != nil {
		return err
	}
	u := fake.UpstreamOptions{
		ID:             model.UpstreamID(args[0]),
		Service:        model.ServiceName(o["service"]),
		Zone:           model.Zone(at.zone),
		Slots:          defaultSlots,
		MaxConnections: defaultConnections,
		ServiceTime:    fake.ServiceTime{Mean: defaultServiceTime},
		ResponseBytes:  defaultSize,
		Journal:        d.journal,
		Instances:      []string{at.address()},
	}
	if err := parseInt(o, "slots", &u.Slots); err != nil {
		return err
	}
	if err := parseInt(o, "size", &u.ResponseBytes); err != nil {
		return err
	}
	if err := parseDuration(o, "time", &u.ServiceTime.Mean); err != nil {
		return err
	}
	for _, i := range d.instances {
		if i != at {
			u.Instances = append(u.Instances, i.address())
		}
	}
	started, err := fake.StartUpstream(u)
	if err != nil {
		return err
	}
	d.upstreams[args[0]] = started
	select {
	case <-started.Registered():
		return nil
	case <-time.After(readyTimeout):
		return fmt.Errorf("upstream %s is not registered after %v", args[0], readyTimeout)
	}
}

func onUpstream(f func(*fake.Upstream)) func(*testscript.TestScript, *deployment, []string) error {
	return each(func(d *deployment, name string) error {
		u := d.upstreams[name]
		if u == nil {
			return fmt.Errorf("no upstream %q", name)
		}
		f(u)
		return nil
	})
}

func slow(_ *testscript.TestScript, d *deployment, args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	return onUpstream(func(u *fake.Upstream) { u.SetSlowdown(factor) })(nil, d, args[:1])
}

// idle waits and checks that the upstream got no work meanwhile.
func idle(_ *testscript.TestScript, d *deployment, args []string) error {
	u := d.upstreams[args[0]]
	if u == nil {
		return fmt.Errorf("no upstream %q", args[0])
	}
	wait, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	before := u.Stats().Executions
	time.Sleep(wait)
	if n := u.Stats().Executions - before; n != 0 {
		return fmt.Errorf("upstream %s ran %d requests within %v", args[0], n, wait)
	}
	return nil
}

// await runs a program until its output matches.
func await(_ *testscript.TestScript, d *deployment, args []string) error {
	program := args[2]
	if strings.HasPrefix(program, "anvilcrank") {
		program = filepath.Join(d.binary, program)
	}
	return awaitMatch(args[0], args[1], func() (string, error) {
		// A program that fails may say so in its output, which is what counts.
		out, _ := exec.Command(program, args[3:]...).CombinedOutput()
		return string(out), nil
	})
}

// awaitMatch reads until the text matches the pattern, at most for a time.
func awaitMatch(limit, pattern string, read func() (string, error)) error {
	most, err := time.ParseDuration(limit)
	if err != nil {
		return err
	}
	want, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(most)
	for {
		text, err := read()
		if err == nil && want.MatchString(text) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v the text does not match %q (%v):\n%s", most, pattern, err, text)
		}
		time.Sleep(pollInterval)
	}
}

// options parses KEY=VALUE arguments.
func options(args []string) (map[string]string, error) {
	o := map[string]string{}
	for _, a := range args {
		key, value, ok := strings.Cut(a, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE", a)
		}
		o[key] = value
	}
	return o, nil
}

func parseInt(o map[string]string, key string, to *int) error {
	text, ok := o[key]
	if !ok {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	*to = n
	return nil
}

func parseDuration(o map[string]string, key string, to *time.Duration) error {
	text, ok := o[key]
	if !ok {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	*to = v
	return nil
}
