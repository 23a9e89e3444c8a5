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

// Defaults of fake upstreams. Calls expect response bodies of defaultBodyBytes.
const (
	defaultSlots          = 3
	defaultMaxConnections = 360
	defaultServiceTime    = 20 * time.Millisecond
	defaultBodyBytes      = 512
)

// pollInterval is the pause between two checks of a condition that a command
// waits for.
const pollInterval = 20 * time.Millisecond

// deploymentKey is the key of a script's deployment in testscript.Env.Values.
type deploymentKey struct{}

// Params returns the testscript parameters that run the scripts in dir. binDir
// is the folder of the built programs.
func Params(dir, binDir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			d := newDeployment(env.WorkDir, binDir)
			env.Values[deploymentKey{}] = d
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Defer(d.close)
			return nil
		},
		Cmds: commands,
	}
}

// command returns the testscript command that calls f with the script's
// deployment. A negated command or one with fewer than minArgs arguments fails
// with a usage error.
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

// forEachName returns a command function that calls f for each argument, the
// name of an instance, an upstream, a call or a load.
func forEachName(f func(d *deployment, name string) error) func(*testscript.TestScript, *deployment, []string) error {
	return func(_ *testscript.TestScript, d *deployment, args []string) error {
		for _, name := range args {
			if err := f(d, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// signalCommand returns a command function that sends a signal to instances.
func signalCommand(s syscall.Signal) func(*testscript.TestScript, *deployment, []string) error {
	return forEachName(func(d *deployment, name string) error { return d.signal(name, s) })
}

// commands holds the commands by name. The package comment describes them.
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
	"crash":        command("crash NAME...", 1, signalCommand(syscall.SIGKILL)),
	"freeze":       command("freeze NAME...", 1, signalCommand(syscall.SIGSTOP)),
	"thaw":         command("thaw NAME...", 1, signalCommand(syscall.SIGCONT)),
	"terminate":    command("terminate NAME...", 1, signalCommand(syscall.SIGTERM)),
	"exited":       command("exited NAME...", 1, forEachName((*deployment).awaitExit)),
	"upstream":     command("upstream ID KEY=VALUE...", 2, startUpstream),
	"drain":        command("drain ID...", 1, forEachUpstream((*fake.Upstream).Drain)),
	"killupstream": command("killupstream ID...", 1, forEachUpstream((*fake.Upstream).Kill)),
	"slow":         command("slow ID FACTOR", 2, setSlowdown),
	"idle":         command("idle ID DURATION", 2, checkIdle),
	"call": command("call NAME METHOD SERVICE at=INSTANCE ...", 4, func(_ *testscript.TestScript, d *deployment, args []string) error {
		options, err := parseOptions(args[3:])
		if err != nil {
			return err
		}
		return d.startCall(args[0], strings.ToUpper(args[1]), args[2], options)
	}),
	"running": command("running NAME...", 1, forEachName((*deployment).awaitExecution)),
	"result": command("result NAME OUTCOME [CODE]", 2, func(_ *testscript.TestScript, d *deployment, args []string) error {
		code := ""
		if len(args) > 2 {
			code = args[2]
		}
		return d.checkResult(args[0], args[1], code)
	}),
	"runs": command("runs NAME COUNT", 2, func(_ *testscript.TestScript, d *deployment, args []string) error {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return d.checkExecutions(args[0], n)
	}),
	"calls":  command("calls COUNT METHOD SERVICE at=INSTANCE ...", 4, upperCaseMethod(sendSequence)),
	"lookup": command("lookup DURATION REGEXP INSTANCE SERVICE", 4, awaitLookup),
	"load": command("load NAME METHOD SERVICE zone=ZONE", 4, func(_ *testscript.TestScript, d *deployment, args []string) error {
		options, err := parseOptions(args[3:])
		if err != nil {
			return err
		}
		return d.startLoad(args[0], strings.ToUpper(args[1]), args[2], options)
	}),
	"loaded": command("loaded NAME...", 1, forEachName((*deployment).finishLoad)),
	"pause": command("pause DURATION", 1, func(_ *testscript.TestScript, _ *deployment, args []string) error {
		wait, err := time.ParseDuration(args[0])
		time.Sleep(wait)
		return err
	}),
	"changes": command("changes COUNT INSTANCE", 2, makeChanges),
	"leader":  command("leader VARIABLE INSTANCE", 2, setLeaderVariables),
	"loseDisk": command("loseDisk NAME", 1, forEachName(func(d *deployment, name string) error {
		return os.RemoveAll(filepath.Join(d.dir, "data-"+name))
	})),
	"await":  command("await DURATION REGEXP PROGRAM ARG...", 3, awaitOutput),
	"newkey": command("newkey VARIABLE ZONE", 2, setNewKey),
}

// upperCaseMethod returns a command function that converts the second argument,
// the HTTP method, to upper case and calls f.
func upperCaseMethod(f func(*testscript.TestScript, *deployment, []string) error) func(*testscript.TestScript, *deployment, []string) error {
	return func(ts *testscript.TestScript, d *deployment, args []string) error {
		args[1] = strings.ToUpper(args[1])
		return f(ts, d, args)
	}
}

// setLeaderVariables sets variables to the names and addresses of the leader,
// as reported by an instance, and of another member of the control group.
func setLeaderVariables(ts *testscript.TestScript, d *deployment, args []string) error {
	asked, err := d.instance(args[1])
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		out, _ := d.programCommand("anvilcrank", "status", "--instance", asked.address(), "--json").Output()
		var status struct {
			Leader  string `json:"leader"`
			Current bool   `json:"current"`
		}
		if json.Unmarshal(out, &status) == nil && status.Current && status.Leader != "" {
			ts.Setenv(args[0], status.Leader)
			ts.Setenv(args[0]+"_address", d.addressOf(status.Leader))
			if other := d.otherMember(status.Leader); other != nil {
				ts.Setenv("other", other.name)
				ts.Setenv("other_address", other.address())
			}
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s reports no leader after %v", args[1], readyTimeout)
}

// makeChanges makes configuration changes one after the other: it alternately
// adds and removes a drain of an upstream that does not exist.
func makeChanges(_ *testscript.TestScript, d *deployment, args []string) error {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	target, err := d.instance(args[1])
	if err != nil {
		return err
	}
	for k := range count {
		verb := []string{"add", "remove"}[k%2]
		out, err := d.programCommand("anvilcrank", "drain", verb, "--instance", target.address(), "upstream", "nothing").CombinedOutput()
		if err != nil {
			return fmt.Errorf("change %d: %w: %s", k, err, out)
		}
	}
	return nil
}

// setNewKey sets a variable to a new idempotency key.
func setNewKey(ts *testscript.TestScript, _ *deployment, args []string) error {
	now := model.Time(time.Now().UnixNano())
	ts.Setenv(args[0], model.FormatKey(model.Zone(args[1]), now, fmt.Sprintf("%016x", now)))
	return nil
}

// startUpstream starts a fake upstream and waits until it is registered.
func startUpstream(_ *testscript.TestScript, d *deployment, args []string) error {
	options, err := parseOptions(args[1:])
	if err != nil {
		return err
	}
	firstInstance, err := d.instance(options["at"])
	if err != nil {
		return err
	}
	upstreamOptions := fake.UpstreamOptions{
		ID:             model.UpstreamID(args[0]),
		Service:        model.ServiceName(options["service"]),
		Zone:           model.Zone(firstInstance.zone),
		Slots:          defaultSlots,
		MaxConnections: defaultMaxConnections,
		ServiceTime:    fake.ServiceTime{Mean: defaultServiceTime},
		ResponseBytes:  defaultBodyBytes,
		Journal:        d.journal,
		Instances:      []string{firstInstance.address()},
	}
	if err := parseInt(options, "slots", &upstreamOptions.Slots); err != nil {
		return err
	}
	if err := parseInt(options, "size", &upstreamOptions.ResponseBytes); err != nil {
		return err
	}
	if err := parseDuration(options, "time", &upstreamOptions.ServiceTime.Mean); err != nil {
		return err
	}
	for _, i := range d.instances {
		if i != firstInstance {
			upstreamOptions.Instances = append(upstreamOptions.Instances, i.address())
		}
	}
	started, err := fake.StartUpstream(upstreamOptions)
	if err != nil {
		return err
	}
	d.upstreams[args[0]] = started
	select {
	case <-started.Registered():
		return nil
	case <-time.After(readyTimeout):
		return fmt.Errorf("upstream %s was not registered within %v", args[0], readyTimeout)
	}
}

// forEachUpstream returns a command function that calls f for each named
// upstream.
func forEachUpstream(f func(*fake.Upstream)) func(*testscript.TestScript, *deployment, []string) error {
	return forEachName(func(d *deployment, name string) error {
		u := d.upstreams[name]
		if u == nil {
			return fmt.Errorf("no upstream %q", name)
		}
		f(u)
		return nil
	})
}

// setSlowdown multiplies the service time of an upstream by a factor.
func setSlowdown(_ *testscript.TestScript, d *deployment, args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	return forEachUpstream(func(u *fake.Upstream) { u.SetSlowdown(factor) })(nil, d, args[:1])
}

// checkIdle waits and then checks that the upstream has begun no request in the
// meantime.
func checkIdle(_ *testscript.TestScript, d *deployment, args []string) error {
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
		return fmt.Errorf("upstream %s began %d requests within %v", args[0], n, wait)
	}
	return nil
}

// awaitOutput runs a program repeatedly until its output matches a pattern.
func awaitOutput(_ *testscript.TestScript, d *deployment, args []string) error {
	programPath := args[2]
	if strings.HasPrefix(programPath, "anvilcrank") {
		programPath = filepath.Join(d.binDir, programPath)
	}
	return awaitMatch(args[0], args[1], func() (string, error) {
		// The program may fail: a pattern can match its error message.
		out, _ := exec.Command(programPath, args[3:]...).CombinedOutput()
		return string(out), nil
	})
}

// awaitMatch calls read until the text that it returns matches the pattern. It
// returns an error if no text matches within the duration that timeoutText
// contains.
func awaitMatch(timeoutText, pattern string, read func() (string, error)) error {
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return err
	}
	want, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for {
		text, err := read()
		if err == nil && want.MatchString(text) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v the output does not match %q (%v):\n%s", timeout, pattern, err, text)
		}
		time.Sleep(pollInterval)
	}
}

// parseOptions parses KEY=VALUE arguments.
func parseOptions(args []string) (map[string]string, error) {
	options := map[string]string{}
	for _, a := range args {
		key, value, ok := strings.Cut(a, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE", a)
		}
		options[key] = value
	}
	return options, nil
}

// parseInt sets *value to the integer of an option, if the option is given.
func parseInt(options map[string]string, key string, value *int) error {
	text, ok := options[key]
	if !ok {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	*value = n
	return nil
}

// parseDuration sets *value to the duration of an option, if the option is
// given.
func parseDuration(options map[string]string, key string, value *time.Duration) error {
	text, ok := options[key]
	if !ok {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	*value = v
	return nil
}
