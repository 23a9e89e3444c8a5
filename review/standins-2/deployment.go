package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the listen ports of all processes; each process has an address of its own.
type ports struct{ front, ready, control, directory, internal int }

// node is one process of the deployment.
type node struct {
	name, ip, zone string
	control        bool
	linkMbps       float64
	settings, data string
	cmd            *exec.Cmd
	exited         chan struct{}
	log            *os.File
}

// deployment is a small deployment: three control processes and some entry processes.
type deployment struct {
	daemon, dir string
	ports       ports
	nodes       []*node
	host        string
	record      *record
}

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var zoneRegions = map[string]string{"thamel": "bagmati", "patan": "bagmati", "lakeside": "gandaki", "baidam": "gandaki", "butwal": "lumbini", "bhairahawa": "lumbini"}

// bounds are those of sites/tabsangam-lb.toml.
const bounds = `["seedLagS=3","reuseDelayS=2","contactMs=3000","ackTimeoutMs=4000","catchUpS=4","drainMs=2000","gracePeriodS=6","lossSlackMs=200","configApplyMs=2000","downgradeSlackMs=250","maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=60","coldLoadFactor=1.5","coldSlack=5","evacuationMs=5000","recoveryS=15","ttl_max_s=5","maxRegionShift=0.15"]`

const heartbeatMs = 1500

// newDeployment prepares the settings of control processes in three zones and of entry
// processes.
func newDeployment(daemon string, rec *record, controls, entries int, linkMbps float64, tolerated int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{daemon: daemon, dir: dir, host: "jepu9.example", record: rec}
	zones := []string{"thamel", "lakeside", "butwal", "patan", "baidam", "bhairahawa"}
	net3 := 10 + os.Getpid()%200
	for i := range controls {
		d.nodes = append(d.nodes, &node{name: fmt.Sprintf("core-%s-1", zones[i%6]), ip: fmt.Sprintf("127.%d.%d.36", net3, i+1), zone: zones[i%6], control: true, linkMbps: 1000})
	}
	for i := range entries {
		d.nodes = append(d.nodes, &node{name: fmt.Sprintf("edge-%s-%d", zones[i%6], i+1), ip: fmt.Sprintf("127.%d.%d.34", net3, i+1), zone: zones[i%6], linkMbps: linkMbps})
	}
	if d.ports, err = freePorts(d.nodes); err != nil {
		return nil, err
	}
	for _, n := range d.nodes {
		n.settings = filepath.Join(dir, n.name+".toml")
		n.data = filepath.Join(dir, n.name+".data")
		if err := d.writeSettings(n, true, tolerated); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freePorts returns ports that are free at all addresses.
func freePorts(nodes []*node) (ports, error) {
	for base := 21000 + os.Getpid()%20000; base < 60000; base += 40 {
		free := true
		for _, n := range nodes {
			for p := base; p < base+24 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, p))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return ports{front: base + 20, ready: base + 21, control: base + 22, directory: base + 23, internal: base}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func (d *deployment) writeSettings(n *node, bootstrap bool, tolerated int) error {
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	var seeds []string
	for _, c := range d.nodes {
		if c.control && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", c.ip, d.ports.control))
		}
	}
	class, serves := "edge", `["edge"]`
	if n.control {
		class, serves = "core", `["control_plane","directory"]`
	}
	w("nodeName = %q", n.name)
	w("role = %q", "my-"+class)
	w("machineClass = %q", class)
	w("serves = %s", serves)
	w("ip = %q", n.ip)
	w("zone = %q", n.zone)
	w("region = %q", zoneRegions[n.zone])
	w("internalPortRange = [%d,%d]", d.ports.internal, d.ports.internal+15)
	w("seeds = [%s]", strings.Join(seeds, ","))
	w("bootstrap = %t", bootstrap)
	w("countInTolerance = %t", n.control)
	if n.control {
		w("dataDir = %q", n.data)
	}
	w(`discovery = "self_registration"`)
	w(`entry = "directory"`)
	w("heartbeatIntervalMs = %d", heartbeatMs)
	w(`contracts = ["base","drain","config","cost","retry","recover","places"]`)
	w("bounds = %s", bounds)
	w(`configMode = "parts"`)
	w("[zones]")
	for zone, region := range zoneRegions {
		w("%s = %q", zone, region)
	}
	w("[listen]")
	if n.control {
		w(`control = "%s:%d"`, n.ip, d.ports.control)
		w(`directory = "%s:%d"`, n.ip, d.ports.directory)
	} else {
		w(`front = "%s:%d"`, n.ip, d.ports.front)
		w(`ready = "%s:%d"`, n.ip, d.ports.ready)
	}
	w("[limits]")
	w("cpuShare = 0.48\ncpuCores = 1\nmemoryMb = 284\nfdLimit = 4100\nlinkMbps = %.1f\ndiskMb = 256", n.linkMbps)
	w("[faultTolerance]")
	w("machines = %d\nzones = 1\nregions = 1", tolerated)
	return os.WriteFile(n.settings, []byte(b.String()), 0o600)
}

// start starts the process of a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	var err error
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(d.dir, n.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(d.daemon, "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ANVILCRANK_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		d.record.logf("process %s ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (d *deployment) startAll() error {
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) controls() (list []*node) {
	for _, n := range d.nodes {
		if n.control {
			list = append(list, n)
		}
	}
	return list
}

func (d *deployment) entries() (list []*node) {
	for _, n := range d.nodes {
		if !n.control {
			list = append(list, n)
		}
	}
	return list
}

func (d *deployment) front(n *node) string     { return fmt.Sprintf("%s:%d", n.ip, d.ports.front) }
func (d *deployment) controlOf(n *node) string { return fmt.Sprintf("%s:%d", n.ip, d.ports.control) }

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// post sends a call and returns the status and the body, 0 if there was no answer.
func post(client *http.Client, url string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(http.MethodPost, url, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// patch sends a change to one control process after the other until one acknowledges it.
func (d *deployment) patch(body any, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	last := ""
	for time.Now().Before(end) {
		for _, n := range d.controls() {
			status, text := post(httpClient, "http://"+d.controlOf(n)+"/config/patch", body)
			last = fmt.Sprintf("%d %s", status, text)
			if status == 200 {
				return nil
			}
			if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
				return fmt.Errorf("refused: %s", last)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement: %s", last)
}

// route and service are items as the operator sends them.
func route(host, prefix, kind, service string, timeoutMs, version int) map[string]any {
	return map[string]any{"host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, objectiveField: 600, "priority": 1,
		"service": service, "maxAttempts": 2, "sessionAffinity": true, "homeRegions": []string{}, "version": fmt.Sprintf("%08x", version)}
}

func service(coldPerS float64, version int) map[string]any {
	return map[string]any{"healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": coldPerS,
		"version": fmt.Sprintf("%08x", version)}
}

func limits(version int) map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "version": fmt.Sprintf("%08x", version)}
}

// waitReady waits until all entry processes say that they are ready.
func (d *deployment) waitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range d.entries() {
		for {
			resp, err := httpClient.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, d.ports.ready))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// heartbeats announces a server to the control processes until the context ends.
func (d *deployment) heartbeats(ctx context.Context, s *server, svc string) {
	d.coldHeartbeats(ctx, s, svc, 0)
}

// coldHeartbeats announces a server that is cold for some time after its start.
func (d *deployment) coldHeartbeats(ctx context.Context, s *server, svc string, cold time.Duration) {
	for sequence := 0; ; {
		for _, n := range d.controls() {
			sequence++
			left := max(0, time.UnixMilli(s.born).Add(cold).Sub(time.Now())).Milliseconds()
			status, _ := post(httpClient, "http://"+d.controlOf(n)+"/instances/"+s.id+"/heartbeat", map[string]any{
				"service": svc, "address": s.address(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready", coldField: left, "sequence": sequence, "born": s.born})
			if status/100 == 2 {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}
