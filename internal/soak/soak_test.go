package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a seed that does not always give the same schedule.
func TestSameSeedGivesTheSameSchedule(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Schedule(7, time.Minute)).To(Equal(Schedule(7, time.Minute)))
	g.Expect(Schedule(7, time.Minute)).NotTo(Equal(Schedule(8, time.Minute)))
}

// Guards against schedules that disrupt control processes during a disk repair.
func TestOnlyOneDiskIsLostAtATime(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		var wipedUntil time.Duration
		for _, step := range Schedule(seed, 2*time.Minute) {
			if wipedUntil > 0 && step.Kind.disruptsControl() {
				g.Expect(step.At).To(BeNumerically(">=", wipedUntil+diskRepairTime))
			}
			if step.Kind.losesDisk() {
				wipedUntil = step.At + step.Duration
			}
		}
	}
}

// Guards against violations in a run of 15 s with the real program.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for 15 s")
	}
	g := NewWithT(t)
	folder := t.TempDir()
	daemon := filepath.Join(folder, "anvilcrankd")
	buildOutput, err := exec.Command("go", "build", "-o", daemon, "../../cmd/anvilcrankd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(buildOutput))
	report, err := Run(context.Background(), Options{Seed: 1, Length: 15 * time.Second, Daemon: daemon, Folder: t.TempDir(),
		Controls: 3, Entries: 3, Upstreams: 9, Clients: 12})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Steps).NotTo(BeEmpty())
	g.Expect(report.Violations).To(BeEmpty())
	g.Expect(report.StatusCounts["200"]).To(BeNumerically(">", 500))
}
