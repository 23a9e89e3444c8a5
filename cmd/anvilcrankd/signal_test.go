package main_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/platform"
)

// Guards against a process that is ended by a signal for its settings because it has not read
// them yet. The settings are a pipe here, so that reading them takes as long as the test
// wants.
func TestSignalWhileTheSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	daemon, settings := filepath.Join(dir, "anvilcrankd"), filepath.Join(dir, "settings")
	build := exec.Command("go", "build", "-o", daemon, ".")
	output, err := build.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(output))
	g.Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
	var stderr bytes.Buffer
	cmd := exec.Command(daemon, "--platform")
	cmd.Env = append(os.Environ(), platform.SettingsFileVariable+"="+settings)
	cmd.Stderr = &stderr
	g.Expect(cmd.Start()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	// Opening the pipe waits until the process reads it.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Consistently(ended).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
	g.Expect(pipe.Close()).To(Succeed())
	g.Eventually(ended).WithTimeout(10 * time.Second).Should(Receive())
	g.Expect(cmd.ProcessState.ExitCode()).To(Equal(2), "empty settings are invalid: %s", stderr.String())
}
