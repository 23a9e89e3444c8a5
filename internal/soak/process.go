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

// process is one program of the deployment.
type process struct {
	node   standin.Node
	daemon string
	folder string
	text   string // its settings after the first start

	// turn is held by the step that ends and starts the program.
	turn sync.Mutex

	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	stopping bool
	harmed   bool
}

// start runs the program. first says that the whole deployment is new.
func (p *process) start(first string) error {
	text := p.text
	if first != "" {
		text = first
	}
	settings := filepath.Join(p.folder, p.node.Name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.node.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(p.daemon, "--platform")
	command.Env = []string{platform.SettingsFileVariable + "=" + settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.node.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // its log says why it ended
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended, p.stopping, p.harmed = command, ended, false, false
	return nil
}

// signal sends a signal to the program that was started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = p.stopping || s == syscall.SIGTERM
	p.harmed = p.harmed || s == syscall.SIGKILL || s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s) // it may have ended by itself
}

// stopsCleanly reports whether the program was told to stop and nothing else was
// done to it.
func (p *process) stopsCleanly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping && !p.harmed
}

func (p *process) wasHarmed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harmed
}

// wait waits until the program has ended and kills it if it takes longer.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// wipe empties the data folder.
func (p *process) wipe() error {
	if err := os.RemoveAll(p.node.DataDir); err != nil {
		return err
	}
	return os.MkdirAll(p.node.DataDir, 0o700)
}

// tornBytes is how much of an unfinished write is left behind.
const tornBytes = 700

// tear appends what a write without a sync may leave behind to the newest file of
// the data folder: the file has grown, the data is missing.
func (p *process) tear() error {
	entries, err := os.ReadDir(p.node.DataDir)
	if err != nil {
		return err
	}
	var newest string
	var at time.Time
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || info.IsDir() {
			continue
		}
		if info.ModTime().After(at) {
			newest, at = e.Name(), info.ModTime()
		}
	}
	if newest == "" {
		return nil
	}
	f, err := os.OpenFile(filepath.Join(p.node.DataDir, newest), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(make([]byte, tornBytes))
	return err
}
