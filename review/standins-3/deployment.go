package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, each of which has its own loopback address.
const (
	frontPort     = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8546
	firstInner    = 7540
	lastInner     = 7555
)

// heartbeatEvery is how often servers say that they are there.
const heartbeatEvery = 1500 * time.Millisecond

// boundsSetting carries the bounds of the site that the cases name.
const boundsSetting = `bounds = ["seedLagS=3","reuseDelayS=2","contactMs=4000","ackTimeoutMs=5000","catchUpS=4","drainMs=2500","gracePeriodS=6","lossSlackMs=200","configApplyMs=2500","downgradeSlackMs=250","maxStretchMs=6000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=62","coldLoadFactor=1.5","coldSlack=5","evacuationMs=5000","recoveryS=15","ttl_max_s=5","maxRegionShift=0.15"]`

// zones and regions of the site.
var zoneRegions = [][2]string{
	{"gulf-a", "gulf"}, {"plains-a", "plains"}, {"hill-a", "hill-country"},
	{"gulf-b", "gulf"}, {"plains-b", "plains"}, {"hill-b", "hill-country"},
}

// machine is one machine of the system with its one process.
type machine struct {
	name, ip, zone, region string
	core                   bool
	bootstrap              bool
	seeds                  []string
	folder                 string
	daemon                 string
	mu                     sync.Mutex
	command                *exec.Cmd
	exited                 chan struct{}
}

// deployment holds the machines of one run.
type deployment struct {
	folder string
	prefix string
	core   []*machine
	edge   []*machine
}

// freePrefix returns the first three bytes of a loopback network on which the ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, firstInner, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// newDeployment lays out one core machine in each zone and one edge machine in each of
// edgeZones.
func newDeployment(daemon string, edgeZones []string) (*deployment, error) {
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, prefix: prefix}
	region := map[string]string{}
	for i, z := range zoneRegions {
		region[z[0]] = z[1]
		d.core = append(d.core, &machine{name: "core-" + z[0] + "-1", ip: fmt.Sprint(prefix, 10+i), zone: z[0], region: z[1], core: true})
	}
	for i, z := range edgeZones {
		d.edge = append(d.edge, &machine{name: fmt.Sprintf("edge-%s-%d", z, i+1), ip: fmt.Sprint(prefix, 40+i), zone: z, region: region[z]})
	}
	for _, m := range append(append([]*machine{}, d.core...), d.edge...) {
		m.bootstrap, m.daemon = true, daemon
		m.folder = filepath.Join(folder, m.name)
		for _, c := range d.core[:3] {
			m.seeds = append(m.seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
		}
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// settings returns the settings file of the machine.
func (m *machine) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves, cpu, memory := "edge", `["edge"]`, 0.32, 284
	if m.core {
		class, serves, cpu, memory = "core", `["control_plane","directory"]`, 0.48, 280
	}
	line("nodeName = %q", m.name)
	line("role = %q", map[bool]string{true: "control", false: "entry"}[m.core])
	line("machineClass = %q", class)
	line("serves = %s", serves)
	line("ip = %q", m.ip)
	line("zone = %q", m.zone)
	line("region = %q", m.region)
	line("internalPortRange = [%d,%d]", firstInner, lastInner)
	line(`seeds = ["%s"]`, strings.Join(m.seeds, `","`))
	line("bootstrap = %t", m.bootstrap)
	line("countInTolerance = %t", m.core)
	line(`discovery = "self_registration"`)
	line(`entry = "directory"`)
	line("heartbeatIntervalMs = %d", heartbeatEvery.Milliseconds())
	line(`contracts = ["base","drain","config","cost","retry","recover","places"]`)
	line("%s", boundsSetting)
	line(`configMode = "parts"`)
	if m.core {
		line("dataDir = %q", filepath.Join(m.folder, "data"))
	}
	line("[zones]")
	for _, z := range zoneRegions {
		line("%s = %q", z[0], z[1])
	}
	line("[listen]")
	if m.core {
		line(`control = "%s:%d"`, m.ip, controlPort)
		line(`directory = "%s:%d"`, m.ip, directoryPort)
	} else {
		line(`front = "%s:%d"`, m.ip, frontPort)
		line(`ready = "%s:%d"`, m.ip, readyPort)
	}
	line("[limits]")
	line("cpuShare = %v", cpu)
	line("cpuCores = 1")
	line("memoryMb = %d", memory)
	line("fdLimit = 4096")
	line("linkMbps = 1000.0")
	line("diskMb = %d", map[bool]int{true: 256, false: 0}[m.core])
	line("[faultTolerance]")
	line("machines = 2")
	line("zones = 1")
	line("regions = 1")
	return b.String()
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.folder, "local.toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.daemon, "--platform")
	command.Env = []string{"ANVILCRANK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "LANG=C"}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// all returns all machines.
func (d *deployment) all() []*machine { return append(append([]*machine{}, d.core...), d.edge...) }

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range d.all() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
