package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two samples of the memory of a process.
	sampleInterval = 20 * time.Millisecond
	kibibyte       = 1 << 10
)

// Process is one process of anvilcrankd.
type Process struct {
	command *exec.Cmd
	ip      string
	logPath string
	exited  chan struct{}
	// peak is the largest sample of the resident memory and the unread bytes, in bytes.
	peak atomic.Int64
	// peakUnread is the largest sample of the unread bytes alone.
	peakUnread atomic.Int64
	// peakDescriptors is the largest sample of the number of open descriptors.
	peakDescriptors atomic.Int64
}

// startProcess starts the daemon in a folder for its log. All listeners of the process are at
// the IP address. descriptors is the limit of open descriptors, 0 for the one of the test.
func startProcess(folder, name, ip string, descriptors int, env []string, daemon string, args ...string) (*Process, error) {
	p := &Process{ip: ip, logPath: filepath.Join(folder, name+".log"), exited: make(chan struct{})}
	logFile, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	if descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
		args = append([]string{"-c", script, daemon}, args...)
		daemon = "sh"
	}
	p.command = exec.Command(daemon, args...)
	p.command.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.command.Wait() // the reason is in the log
		close(p.exited)
	}()
	go p.sample()
	return p, nil
}

// Kill ends the process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails if the process has ended
	<-p.exited
}

// Alive reports whether the process still runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample records the peaks until the process ends.
func (p *Process) sample() {
	for p.Alive() {
		unread := p.unreadBytes()
		p.peakUnread.Store(max(p.peakUnread.Load(), unread))
		p.peak.Store(max(p.peak.Load(), p.statusField("VmRSS:")+unread))
		p.peakDescriptors.Store(max(p.peakDescriptors.Load(), p.descriptors()))
		time.Sleep(sampleInterval)
	}
}

// PeakBytes returns the largest memory of the process so far: its resident memory or, if that
// is more, the largest sample of the resident memory and the bytes that the kernel has
// received for it.
func (p *Process) PeakBytes() int64 { return max(p.peak.Load(), p.statusField("VmHWM:")) }

// PeakUnreadBytes returns the largest sample of the bytes that the kernel has received for the
// process.
func (p *Process) PeakUnreadBytes() int64 { return p.peakUnread.Load() }

// statusField returns a field of /proc/PID/status that is in kibibytes, in bytes. It returns 0
// if the process has ended.
func (p *Process) statusField(name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n * kibibyte
		}
	}
	return 0
}

// unreadBytes returns how many bytes the kernel has received on connections to the process that
// it has not read.
func (p *Process) unreadBytes() int64 {
	const (
		localField, stateField, queueField = 1, 3, 4
		listening                          = "0A"
	)
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var sum int64
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queueField || !strings.HasPrefix(fields[localField], hexIP(p.ip)+":") || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// hexIP returns an IPv4 address as /proc/net/tcp shows it.
func hexIP(ip string) string {
	var b [4]byte
	_, _ = fmt.Sscanf(ip, "%d.%d.%d.%d", &b[0], &b[1], &b[2], &b[3])
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}

// PeakDescriptors returns the largest number of open descriptors so far.
func (p *Process) PeakDescriptors() int { return int(p.peakDescriptors.Load()) }

// descriptors returns the number of open descriptors of the process.
func (p *Process) descriptors() int64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// Log returns the end of the log of the process.
func (p *Process) Log() string {
	const shown = 4 << 10
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-shown):])
}
