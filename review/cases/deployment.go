//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The zones of the deployment with their regions, in the order in which processes
// are placed.
var zones = []struct{ name, region string }{
	{"gulf-a", "gulf"}, {"plains-a", "plains"}, {"hill-a", "hill-country"},
	{"gulf-b", "gulf"}, {"plains-b", "plains"}, {"hill-b", "hill-country"},
}

// Bounds of the deployment, as in the site file.
const (
	heartbeatInterval = 1500 * time.Millisecond
	contactTime       = 4 * time.Second
	drainTime         = 2500 * time.Millisecond
	configApplyTime   = 2500 * time.Millisecond
	evacuationTime    = 5 * time.Second
	maxStretch        = 6 * time.Second
)

const bounds = `["seedLagS=3","reuseDelayS=2","contactMs=4000","ackTimeoutMs=5000","catchUpS=4","drainMs=2500","gracePeriodS=6",` +
	`"lossSlackMs=200","configApplyMs=2500","downgradeSlackMs=250","maxStretchMs=6000","retryBudgetRatio=0.2","budgetWindowS=10",` +
	`"retryBudgetSlack=62","coldLoadFactor=1.5","coldSlack=5","evacuationMs=5000","recoveryS=15","ttl_max_s=5","maxRegionShift=0.15"]`

// Ports, the same on all machines. Each machine has its own loopback address.
const (
	frontPort = 8548 + iota
	readyPort
	controlPort
	directoryPort
)

const (
	internalPort  = 7540
	internalPorts = 16
)

// machine is a machine of the deployment with its process.
type machine struct {
	name, ip, zone, region string
	control                bool
	dataDir                string
	command                *exec.Cmd
	exited                 chan struct{}
}

// deployment holds the processes of a case.
type deployment struct {
	folder   string
	program  []string
	machines []*machine
	seeds    []string
	record   *record
}

// newDeployment creates control machines in all zones and the given number of entry
// machines.
func newDeployment(folder string, program []string, entries int, r *record) (*deployment, error) {
	d := &deployment{folder: folder, program: program, record: r}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	for i := range len(zones) + entries {
		zone := zones[i%len(zones)]
		m := &machine{ip: fmt.Sprintf("%s.%d", prefix, i+1), zone: zone.name, region: zone.region, control: i < len(zones)}
		class := "edge"
		if m.control {
			class = "core"
			m.dataDir = filepath.Join(folder, "data", zone.name)
			if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
				return nil, err
			}
		}
		m.name = class + "-" + zone.name + "-1"
		if i < 3 {
			d.seeds = append(d.seeds, fmt.Sprintf("%q", m.address(controlPort)))
		}
		d.machines = append(d.machines, m)
	}
	return d, nil
}

// freePrefix returns the first three octets of loopback addresses at which the ports
// are free.
func freePrefix() (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 80+(pid/250+try)%100, 1+pid%250)
		free := true
		for host := 1; host <= 12 && free; host++ {
			for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, internalPort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of a machine.
func (d *deployment) settings(m *machine, bootstrap bool) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves := "edge", `["edge"]`
	if m.control {
		class, serves = "core", `["control_plane","directory"]`
	}
	line("nodeName = %q", m.name)
	line("role = %q", map[bool]string{true: "control", false: "entry"}[m.control])
	line("machineClass = %q", class)
	line("serves = %s", serves)
	line("ip = %q", m.ip)
	line("zone = %q", m.zone)
	line("region = %q", m.region)
	line("internalPortRange = [%d,%d]", internalPort, internalPort+internalPorts-1)
	line("seeds = [%s]", strings.Join(d.seeds, ","))
	line("bootstrap = %t", bootstrap)
	line("countInTolerance = %t", m.control)
	line(`discovery = "self_registration"`)
	line(`entry = "directory"`)
	line("heartbeatIntervalMs = %d", heartbeatInterval.Milliseconds())
	line(`contracts = ["base","drain","config","cost","retry","recover","places"]`)
	line("bounds = %s", bounds)
	line(`configMode = "parts"`)
	if m.control {
		line("dataDir = %q", m.dataDir)
	}
	line("[zones]")
	for _, z := range zones {
		line("%s = %q", z.name, z.region)
	}
	line("[listen]")
	if m.control {
		line("control = %q", m.address(controlPort))
		line("directory = %q", m.address(directoryPort))
	} else {
		line("front = %q", m.address(frontPort))
		line("ready = %q", m.address(readyPort))
	}
	line("[limits]\ncpuShare = 0.32\ncpuCores = 1\nmemoryMb = 284\nfdLimit = 4100\nlinkMbps = 1000.0\ndiskMb = %d", map[bool]int{true: 256}[m.control])
	line("[faultTolerance]\nmachines = 2\nzones = 1\nregions = 1")
	return b.String()
}

// start starts the process of a machine.
func (d *deployment) start(m *machine, bootstrap bool) error {
	path := filepath.Join(d.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(d.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(d.program[0], d.program[1:]...)
	m.command.Env = []string{"ANVILCRANK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(m.command, m.exited)
	return nil
}

// startAll starts all processes.
func (d *deployment) startAll(bootstrap bool) error {
	for _, m := range d.machines {
		if err := d.start(m, bootstrap); err != nil {
			return err
		}
	}
	d.record.add("platform", "started %d processes, bootstrap %t", len(d.machines), bootstrap)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, sig syscall.Signal) {
	d.record.add("platform", "%v to %s", sig, m.name)
	_ = m.command.Process.Signal(sig)
}

// killAll kills all processes and waits until they have ended.
func (d *deployment) killAll() {
	for _, m := range d.machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
		}
	}
	for _, m := range d.machines {
		if m.command != nil {
			<-m.exited
		}
	}
	d.record.add("platform", "all processes were killed")
}

// diedAlone returns the names of the machines whose processes are not running.
func (d *deployment) diedAlone() []string {
	var list []string
	for _, m := range d.machines {
		select {
		case <-m.exited:
			list = append(list, m.name)
		default:
		}
	}
	return list
}

func (d *deployment) controls() []*machine { return d.machines[:len(zones)] }
func (d *deployment) entries() []*machine  { return d.machines[len(zones):] }
