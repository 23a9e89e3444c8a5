package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["long-log"] = longLog }

const (
	// A configuration of 350 routes is that of big_config in the site; the changes are
	// some hundreds.
	configRoutes  = 350
	configChanges = 900
	// The operator has up to eight orders in progress at once.
	operators     = 4
	memoryMb      = 280 // of a core machine of the site
	recovery      = 15 * time.Second
	downTime      = 900 * time.Millisecond
	readBackTime  = 5 * time.Second // more than contactMs
	usageInterval = 2 * time.Millisecond
)

// platform starts processes again that have ended, and kills those that use more memory
// than the settings say.
type platform struct {
	d      *deployment
	mu     sync.Mutex
	down   bool
	peak   map[string]int
	killed map[string]int
	stop   chan struct{}
}

// usedMb returns the memory that a process uses in MiB, without that of its files.
func usedMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills processes that use too much memory until stop is closed.
func (p *platform) watchMemory() {
	for {
		p.mu.Lock()
		for _, n := range p.d.nodes {
			select {
			case <-n.exited:
				continue
			default:
			}
			used := usedMb(n.cmd.Process.Pid)
			p.peak[n.name] = max(p.peak[n.name], used)
			if used > memoryMb {
				p.killed[n.name]++
				p.d.record.logf("platform: %s uses %d MiB, more than memoryMb = %d, and is killed", n.name, used, memoryMb)
				_ = n.cmd.Process.Signal(syscall.SIGKILL)
				<-n.exited
			}
		}
		p.mu.Unlock()
		select {
		case <-p.stop:
			return
		case <-time.After(usageInterval):
		}
	}
}

// peakMb returns the most memory that a process has used so far, and how often the
// processes of its machine were killed for their memory.
func (p *platform) peakMb(n *node) (peak, killed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak[n.name], p.killed[n.name]
}

// restartEnded starts ended processes again for some time. Processes must be started by
// the goroutine of main.
func (p *platform) restartEnded(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p.mu.Lock()
		for _, n := range p.d.nodes {
			select {
			case <-n.exited:
				if err := p.d.start(n); err != nil {
					p.mu.Unlock()
					return err
				}
			default:
			}
		}
		p.mu.Unlock()
	}
	return nil
}

// readBack asks a control process for the configuration and returns the number of routes
// with at least the version.
func (d *deployment) readBack(n *node, version int) (int, error) {
	resp, err := httpClient.Get("http://" + d.controlOf(n) + "/config/get")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%d %s", resp.StatusCode, short(string(data)))
	}
	var config struct {
		Routes map[string]struct{ Version string }
	}
	if err := json.Unmarshal(data, &config); err != nil {
		return 0, err
	}
	current := 0
	for _, r := range config.Routes {
		if r.Version >= fmt.Sprintf("%08x", version) {
			current++
		}
	}
	return current, nil
}

// firstVersion is the version of the first call.
const firstVersion = 7

// fullConfig returns a change of all routes.
func fullConfig(host string, version int) map[string]any {
	routes := map[string]any{}
	for k := range configRoutes {
		name := fmt.Sprintf("r-%07d", k)
		routes[name] = route(host, "/"+name+"/", "safe", "huvo11a", 1000+version, version)
	}
	return map[string]any{"upsert": map[string]any{"routes": routes}}
}

// longLog sends some hundreds of changes of a configuration of 350 routes. Then all
// processes are killed and start again.
func longLog(c *caseSettings) (bool, error) {
	d, err := newDeployment(c.daemon, c.record, 3, 2, 1000, 1)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return false, err
	}
	p := &platform{d: d, peak: map[string]int{}, killed: map[string]int{}, stop: make(chan struct{})}
	watched := make(chan struct{})
	go func() { p.watchMemory(); close(watched) }()
	defer func() { close(p.stop); <-watched }()
	if err := d.patch(map[string]any{"upsert": map[string]any{"services": map[string]any{"huvo11a": service(3.5, firstVersion)}, "limits": limits(firstVersion)}}, 20*time.Second); err != nil {
		return false, err
	}
	started := time.Now()
	version := firstVersion + configChanges
	failed := make(chan error, operators)
	for o := range operators {
		go func() {
			for i := o; i < configChanges; i += operators {
				if err := d.patch(fullConfig(d.host, firstVersion+1+i), 4*time.Second); err != nil {
					failed <- fmt.Errorf("change %d: %w", i, err)
					return
				}
			}
			failed <- nil
		}()
	}
	for range operators {
		if err := <-failed; err != nil {
			return false, err
		}
	}
	c.record.logf("%d changes of %d routes are acknowledged after %v, the last one with version %08x", configChanges, configRoutes, time.Since(started).Round(time.Millisecond), version)
	killedBefore := 0
	for _, n := range d.controls() {
		peak, killed := p.peakMb(n)
		killedBefore += killed
		size := int64(0)
		if info, err := os.Stat(n.data + "/log"); err == nil {
			size = info.Size()
		}
		c.record.logf("%s: at most %d MiB used so far, log file %d bytes", n.name, peak, size)
	}
	if killedBefore > 0 {
		return false, errors.New("a process was killed before the disruption")
	}
	if c.trouble {
		c.record.logf("all processes are killed and back after %v; their disks are preserved", downTime)
		p.mu.Lock()
		for _, n := range d.nodes {
			_ = n.cmd.Process.Kill()
			<-n.exited
			if err := d.writeSettings(n, false, 1); err != nil {
				return false, err
			}
		}
		time.Sleep(downTime)
		p.mu.Unlock()
	}
	if err := p.restartEnded(recovery); err != nil {
		return false, err
	}
	c.record.logf("recoveryS is over")
	answered := make(chan int, 1)
	go func() {
		best := 0
		logged := map[string]string{}
		for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, n := range d.controls() {
				current, err := d.readBack(n, version)
				if seen := fmt.Sprint(current, err); seen != logged[n.name] {
					logged[n.name] = seen
					c.record.logf("operator: reads %s: %d routes with the acknowledged version, %v", n.name, current, err)
				}
				best = max(best, current)
			}
		}
		answered <- best
	}()
	if err := p.restartEnded(readBackTime + time.Second); err != nil {
		return false, err
	}
	best := <-answered
	for _, n := range d.nodes {
		peak, killed := p.peakMb(n)
		c.record.logf("%s: at most %d MiB used, killed %d times for its memory", n.name, peak, killed)
	}
	c.record.logf("read back: %d of %d routes with the acknowledged version", best, configRoutes)
	return best < configRoutes, nil
}
