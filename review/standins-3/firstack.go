package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// seedGap is the time between the starts of the seeds, othersAfter the time from the start of
	// the earliest machine to that of the others.
	seedGap     = 50 * time.Millisecond
	othersAfter = 280 * time.Millisecond
	// wipedFor is how long the machines that lose their disks are without power.
	wipedFor = 3 * time.Second
	// suspended is how long service may be suspended after all machines are back: recoveryS.
	suspended = 15 * time.Second
	// readTime is how long the operator then reads the configuration; contactMs is the least.
	readTime = 10 * time.Second
)

// playFirstAck starts the whole system for the first time. Right after the operator's first call
// was acknowledged, two core machines, as many as may be lost, lose power and come back with empty
// disks: the one that acknowledged it and another. The configuration must not be lost.
func playFirstAck(daemon string, trouble bool, r *record) (int, error) {
	d, err := newDeployment(daemon, []string{"gulf-a", "plains-a"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	// All machines start within 0.3 s of each other, in any order: here the seeds start before
	// the others, the first one last.
	for _, m := range []*machine{d.core[1], d.core[2], d.core[0]} {
		if err := startFirst(m, r); err != nil {
			return cannotRun, err
		}
		time.Sleep(seedGap)
	}
	rest := make(chan error, 1)
	time.AfterFunc(othersAfter-3*seedGap, func() {
		for _, m := range append(append([]*machine{}, d.core[3:]...), d.edge...) {
			if err := startFirst(m, r); err != nil {
				rest <- err
				return
			}
		}
		rest <- nil
	})
	if _, err := startServer(d, r, "i-1", d.prefix+"80", "gulf-a", 50*time.Millisecond); err != nil {
		return cannotRun, err
	}
	routes := map[string]any{"r-1": routeItem("/lepu270/", "non_idempotent", "deposits", 2000, 1)}
	status, by := sendOrder(d, r, "first call", "/config/patch", firstCall(routes), time.Now().Add(20*time.Second))
	if status/100 != 2 {
		return cannotRun, fmt.Errorf("the first call was not acknowledged: %d", status)
	}
	if trouble {
		lost := []*machine{by, d.core[0]}
		if by == d.core[0] {
			lost[1] = d.core[1]
		}
		for _, m := range lost {
			m.signal(syscall.SIGKILL)
		}
		r.line("platform: %s and %s lose power", lost[0].name, lost[1].name)
		for _, m := range lost {
			m.kill()
			if err := os.RemoveAll(filepath.Join(m.folder, "data")); err != nil {
				return cannotRun, err
			}
			if err := os.Mkdir(filepath.Join(m.folder, "data"), 0o700); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(wipedFor)
		for _, m := range lost {
			if err := m.start(); err != nil {
				return cannotRun, err
			}
			r.line("platform: %s starts with an empty disk, bootstrap %t", m.name, m.bootstrap)
		}
	}
	if err := <-rest; err != nil {
		return cannotRun, err
	}
	time.Sleep(suspended)
	found, reads := 0, 0
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		m := d.core[reads%len(d.core)]
		reads++
		status, body := call(http.MethodGet, fmt.Sprintf("http://%s:%d/config/get", m.ip, controlPort), nil)
		var answer struct{ Routes map[string]any }
		whole := status == http.StatusOK && json.Unmarshal(body, &answer) == nil && answer.Routes["r-1"] != nil
		r.line("operator: reads the configuration at %s: %d, the route is there: %t", m.name, status, whole)
		if whole {
			found++
		}
	}
	routes["r-2"] = routeItem("/lepu271/", "safe", "deposits", 2000, 2)
	next, _ := sendOrder(d, r, "next call", "/config/patch", firstCall(routes), time.Now().Add(15*time.Second))
	r.line("the configuration was read %d of %d times; the next call got %d", found, reads, next)
	if found == 0 {
		return broken, nil
	}
	return held, nil
}

// startFirst starts a machine when the whole system starts for the first time. The platform starts
// it again with the settings of that later moment.
func startFirst(m *machine, r *record) error {
	r.line("platform: %s starts, bootstrap %t", m.name, m.bootstrap)
	err := m.start()
	m.bootstrap = false
	return err
}
