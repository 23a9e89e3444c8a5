package scenario

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
)

const (
	// callerPort and peerPort are the ports of every instance. They need not
	// differ, because each instance has its own loopback address.
	callerPort = 7001
	peerPort   = 7101
	// readyTimeout is how long an instance may take to start.
	readyTimeout = 10 * time.Second
	// stopTimeout is how long a graceful stop may take after the requests in flight
	// have ended.
	stopTimeout = 15 * time.Second
)

// deploymentCount counts the deployments of this process. The number is part of
// the loopback addresses, so that each deployment has its own.
var deploymentCount atomic.Uint32

// instance is an instance with its settings file and its process.
type instance struct {
	name         string
	zone         string
	ip           string
	hasDisk      bool
	settingsPath string
	process      *exec.Cmd // nil before the start and after a stop
	logFile      *os.File
	exited       chan error // receives the error of process.Wait
}

func (i *instance) address() string { return net.JoinHostPort(i.ip, fmt.Sprint(callerPort)) }

// deployment holds the instances, upstreams and requests of one script.
type deployment struct {
	dir       string
	binDir    string
	journal   *fake.Journal
	instances []*instance
	upstreams map[string]*fake.Upstream
	mu        sync.Mutex
	calls     map[string]*call
	loads     map[string]*load
}

// newDeployment returns an empty deployment. dir is the folder of its files,
// binDir that of the built programs.
func newDeployment(dir, binDir string) *deployment {
	return &deployment{
		dir:       dir,
		binDir:    binDir,
		journal:   fake.NewJournal(),
		upstreams: map[string]*fake.Upstream{},
		calls:     map[string]*call{},
		loads:     map[string]*load{},
	}
}

var settingsTemplate = template.Must(template.New("settings").Parse(`instance: {{.Self.Name}}
zone: {{.Self.Zone}}
listen: {{.Self.IP}}:{{.CallerPort}}
peer_listen: {{.Self.IP}}:{{.PeerPort}}
peers: [{{range $n, $p := .All}}{{if $n}}, {{end}}{{$p.IP}}:{{$.PeerPort}}{{end}}]
{{- if .Self.Disk}}
data: {{.Data}}
{{- end}}
{{- if .Group}}
control_group: [{{range $n, $g := .Group}}{{if $n}}, {{end}}{{$g}}{{end}}]
{{- end}}
bootstrap:
  zones:
    - {zone: a, region: r1}
    - {zone: b, region: r1}
    - {zone: c, region: r2}
    - {zone: d, region: r2}
  roster: [{{range $n, $p := .All}}{{if $n}}, {{end}}{id: {{$p.Name}}, zone: {{$p.Zone}}}{{end}}]
  profiles:
    - {name: freely, class: short, repeat: freely, max_attempts: 3, hedge: true, deadline: 5s, queue_limit: 100, spill: any}
    - {name: once, class: short, repeat: if-not-run, max_attempts: 3, deadline: 5s, queue_limit: 100, spill: any}
    - {name: exports, class: long, repeat: never, max_attempts: 1, deadline: 60s, queue_limit: 100, spill: any}
  services:
    - {name: tabview, profile: freely}
    - {name: settle, profile: once}
    - {name: export, profile: exports}
  links:
    - {a: r1, b: r2, rate: 280Mbit/s}
`))

// templateInstance is the description of an instance in settingsTemplate.
type templateInstance struct {
	Name, Zone, IP string
	Disk           bool
}

// deploy writes the settings files of the named instances. The suffix +disk of
// a name makes the instance a member of the control group.
func (d *deployment) deploy(names []string) error {
	deploymentNumber := deploymentCount.Add(1)
	var instances []templateInstance
	var controlGroup []string
	for n, name := range names {
		name, disk := strings.CutSuffix(name, "+disk")
		zone, _, _ := strings.Cut(name, "-")
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, deploymentNumber, n+1)
		instances = append(instances, templateInstance{name, zone, ip, disk})
		if disk {
			controlGroup = append(controlGroup, name)
		}
	}
	for _, t := range instances {
		i := &instance{name: t.Name, zone: t.Zone, ip: t.IP, hasDisk: t.Disk}
		i.settingsPath = filepath.Join(d.dir, t.Name+".yaml")
		file, err := os.Create(i.settingsPath)
		if err != nil {
			return err
		}
		err = settingsTemplate.Execute(file, map[string]any{
			"Self": t, "All": instances, "Group": controlGroup, "CallerPort": callerPort, "PeerPort": peerPort,
			"Data": filepath.Join(d.dir, "data-"+t.Name),
		})
		if err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
		d.instances = append(d.instances, i)
	}
	return nil
}

func (d *deployment) instance(name string) (*instance, error) {
	for _, i := range d.instances {
		if i.name == name {
			return i, nil
		}
	}
	return nil, fmt.Errorf("no instance %q", name)
}

// addressOf returns the address of an instance, "" if it does not exist.
func (d *deployment) addressOf(name string) string {
	if i, err := d.instance(name); err == nil {
		return i.address()
	}
	return ""
}

// otherMember returns a member of the control group other than the named one,
// nil if there is none.
func (d *deployment) otherMember(name string) *instance {
	for _, i := range d.instances {
		if i.hasDisk && i.name != name {
			return i
		}
	}
	return nil
}

// programCommand returns the command that runs one of the built programs.
func (d *deployment) programCommand(name string, args ...string) *exec.Cmd {
	return exec.Command(filepath.Join(d.binDir, name), args...)
}

// start starts instances and waits until they serve. It starts all of them
// before it waits, because a new control group is founded only once all members
// run.
func (d *deployment) start(names []string) error {
	for _, name := range names {
		if err := d.startProcess(name); err != nil {
			return err
		}
	}
	for _, name := range names {
		i, err := d.instance(name)
		if err != nil {
			return err
		}
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts the process of an instance.
func (d *deployment) startProcess(name string) error {
	i, err := d.instance(name)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	i.process = d.programCommand("anvilcrankd", i.settingsPath)
	i.process.Stderr = logFile
	i.logFile = logFile
	if err := i.process.Start(); err != nil {
		return err
	}
	i.exited = make(chan error, 1)
	go func(p *exec.Cmd, exited chan error) { exited <- p.Wait() }(i.process, i.exited)
	return nil
}

// awaitReady waits until the health check of the instance succeeds.
func (i *instance) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + i.address() + "/v1/health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-i.exited:
			return fmt.Errorf("%s exited during its start: %v", i.name, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s did not serve within %v", i.name, readyTimeout)
}

// signal sends a signal to an instance. After SIGKILL it waits for the exit.
func (d *deployment) signal(name string, s syscall.Signal) error {
	i, err := d.instance(name)
	if err != nil {
		return err
	}
	if i.process == nil {
		return fmt.Errorf("%s is not running", name)
	}
	if err := i.process.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	if s == syscall.SIGKILL {
		<-i.exited
		i.process = nil
	}
	return nil
}

// awaitExit waits until a graceful stop of the instance is complete. The process
// must exit with code 0.
func (d *deployment) awaitExit(name string) error {
	i, err := d.instance(name)
	if err != nil {
		return err
	}
	select {
	case err := <-i.exited:
		i.process = nil
		if err != nil {
			return fmt.Errorf("%s exited with an error: %w", name, err)
		}
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s was still running after %v of waiting for its graceful stop", name, stopTimeout)
	}
}

// close stops all loads, upstreams and instances that are still running.
func (d *deployment) close() {
	for _, l := range d.loads {
		l.cancel()
		<-l.done
	}
	for _, u := range d.upstreams {
		u.Kill()
	}
	for _, i := range d.instances {
		if i.process != nil {
			_ = i.process.Process.Kill()
			<-i.exited
		}
		if i.logFile != nil {
			_ = i.logFile.Close()
		}
	}
}
