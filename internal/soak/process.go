package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/platform"
	"github.com/anvilcrank/anvilcrank/platform/standin"
)

// process is one anvilcrankd process of the deployment.
type process struct {
	node       standin.Node
	daemonPath string
	workFolder string // for the settings file and the log
	settings   string // content of the settings file after the first start

	// restartMu is held by the step that restarts the process.
	restartMu sync.Mutex

	mu             sync.Mutex // guards node and the fields below
	command        *exec.Cmd
	exited         chan struct{}
	sigtermSent    bool
	killedOrPaused bool
}

// start starts the process. initialSettings, if not "", replaces p.settings.
func (p *process) start(initialSettings string) error {
	settings := p.settings
	if initialSettings != "" {
		settings = initialSettings
	}
	settingsPath := filepath.Join(p.workFolder, p.node.Name+".toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(p.workFolder, p.node.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(p.daemonPath, "--platform")
	command.Env = []string{platform.SettingsFileVariable + "=" + settingsPath}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.node.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the reason is in the process's log
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited, p.sigtermSent, p.killedOrPaused = command, exited, false, false
	return nil
}

// ip returns the address of the process.
func (p *process) ip() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.IP
}

// replaceBy makes the next start that of another instance.
func (p *process) replaceBy(node standin.Node, settings string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.settings = node, settings
}

// signal sends a signal to the process that was started last.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sigtermSent = p.sigtermSent || sig == syscall.SIGTERM
	p.killedOrPaused = p.killedOrPaused || sig == syscall.SIGKILL || sig == syscall.SIGSTOP
	_ = p.command.Process.Signal(sig) // fails if the process has exited by itself
}

// isStoppingCleanly reports whether the process has received SIGTERM and was
// neither killed nor paused since its start.
func (p *process) isStoppingCleanly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sigtermSent && !p.killedOrPaused
}

func (p *process) wasKilledOrPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killedOrPaused
}

// waitForExit kills the process and returns false if it outlives the timeout.
func (p *process) waitForExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// wipeData replaces the data folder by an empty one, like the loss of a disk.
func (p *process) wipeData() error {
	if err := os.RemoveAll(p.node.DataDir); err != nil {
		return err
	}
	return os.MkdirAll(p.node.DataDir, 0o700)
}

// tornWriteBytes is the number of zeros that tearNewestFile appends.
const tornWriteBytes = 700

// tearNewestFile appends zeros to the newest file of the data folder, as a crash
// before a sync may leave it: the file has grown, but the data is missing.
func (p *process) tearNewestFile() error {
	entries, err := os.ReadDir(p.node.DataDir)
	if err != nil {
		return err
	}
	var newestName string
	var newestTime time.Time
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || info.IsDir() {
			continue
		}
		if info.ModTime().After(newestTime) {
			newestName, newestTime = e.Name(), info.ModTime()
		}
	}
	if newestName == "" {
		return nil
	}
	file, err := os.OpenFile(filepath.Join(p.node.DataDir, newestName), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.Write(make([]byte, tornWriteBytes))
	return err
}
