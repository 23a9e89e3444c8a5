package configbench

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Runs each fault mode with a few changes. Guards against a fault mode that fails,
// against JSON keys that are missing in the report, and against changes that are
// lost, reverted or applied twice.
func TestReportOfEachMode(t *testing.T) {
	for _, mode := range []string{FaultModeNone, FaultModePartition, FaultModeCrash, FaultModeRepairThenLoss} {
		t.Run(mode, func(t *testing.T) {
			g := NewWithT(t)
			r, err := Run(context.Background(), Options{Instances: 4, GroupSize: 3, Changes: 5, MissedChanges: 5, FaultMode: mode, Seed: 1, RaceInterval: 20 * time.Millisecond})
			g.Expect(err).NotTo(HaveOccurred())
			data, err := json.Marshal(r)
			g.Expect(err).NotTo(HaveOccurred())
			var keys map[string]any
			g.Expect(json.Unmarshal(data, &keys)).To(Succeed())
			for _, key := range []string{"accepted", "conflicts", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms",
				"reverted", "lost_accepted", "double_applied", "control_cpu_share", "control_bytes_per_second", "violations"} {
				g.Expect(keys).To(HaveKey(key))
			}
			g.Expect(r.Accepted).To(BeNumerically(">=", 5))
			g.Expect(r.Failed()).To(BeFalse(), "%v", r.Details)
		})
	}
}

// Guards against checks of the tracker that overlook one of these faults: an
// accepted change is missing in the history, a change is applied twice, two
// accepted changes replace the same version, or an instance returns to an earlier
// version.
func TestChecksFindFaults(t *testing.T) {
	g := NewWithT(t)
	tracked := newTracker()
	now := time.Now()
	config := func(version model.Version, content int64) *model.Config {
		return &model.Config{Version: version, Links: []model.Link{{BytesPerSecond: content}}}
	}
	tracked.recordInForce("a", config(3, 1))
	tracked.recordInForce("a", config(2, 7))
	tracked.recordAccepted(acceptedChange{id: "one", version: 3, replaced: 2, content: 1, acceptedAt: now})
	tracked.recordAccepted(acceptedChange{id: "one", version: 4, replaced: 2, content: 1, acceptedAt: now})
	tracked.recordAccepted(acceptedChange{id: "two", version: 5, replaced: 2, content: 2, acceptedAt: now})
	r := &Report{}
	r.fill(tracked)
	g.Expect(r.Reverted).To(Equal(1))
	g.Expect(r.LostAccepted).To(Equal(2))
	g.Expect(r.DoubleApplied).To(Equal(1))
	g.Expect(r.Failed()).To(BeTrue())
	g.Expect(r.Details).To(ContainElement("changes one and two both replaced version 2"))
}
