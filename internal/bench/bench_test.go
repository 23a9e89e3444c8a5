package bench_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/bench"
)

// Runs a short benchmark of each deployment at full size, without faults. Guards
// against metrics that are missing in the JSON output, and against lost requests
// and other counts that must be 0 but are not.
func TestShortSteadyRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs whole deployments")
	}
	for name, services := range map[string][]string{
		bench.DeploymentBell:      {"catalogue", "deposits", "drawings"},
		bench.DeploymentTabsangam: {"tabview", "settlekhata", "bahikhata-export"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, err := bench.Run(context.Background(), bench.Options{
				Deployment: name, Policy: "anvilcrank", Scenario: bench.ScenarioSteady, NumSeeds: 1, FirstSeed: 1, Duration: 2 * time.Second, TimeScale: 2})
			g.Expect(err).NotTo(HaveOccurred())
			data, err := json.Marshal(s)
			g.Expect(err).NotTo(HaveOccurred())
			var out map[string]any
			g.Expect(json.Unmarshal(data, &out)).To(Succeed())
			for _, field := range []string{"answered", "refused_not_run", "outcome_unknown", "lost", "wrong_answers",
				"duplicate_runs", "false_not_run", "cut_off", "violations", "headroom", "drain_last_new_work_s",
				"hol_ratio", "max_slot_use", "max_region_use", "spread"} {
				g.Expect(out).To(HaveKey(field))
			}
			for _, service := range services {
				g.Expect(out["services"]).To(HaveKeyWithValue(service, And(
					HaveKey("p50_ms"), HaveKey("p99_ms"), HaveKey("p999_ms"), HaveKey("tenants"))))
			}
			g.Expect(out["answered"]).To(BeNumerically(">", 0))
			g.Expect(s.FailedMetrics()).To(BeEmpty(), "%s", data)
		})
	}
}

// Guards against a Validate that accepts options although one of them is invalid.
func TestValidateRejectsInvalidOptions(t *testing.T) {
	g := NewWithT(t)
	valid := bench.Options{Deployment: bench.DeploymentBell, Policy: "anvilcrank", Scenario: bench.ScenarioSteady, NumSeeds: 1}
	g.Expect(valid.Validate()).To(Succeed())
	for _, invalidate := range []func(*bench.Options){
		func(o *bench.Options) { o.Deployment = "x" },
		func(o *bench.Options) { o.Policy = "x" },
		func(o *bench.Options) { o.Scenario = "x" },
		func(o *bench.Options) { o.NumSeeds = 0 },
		func(o *bench.Options) { o.Duration = -1 },
	} {
		options := valid
		invalidate(&options)
		g.Expect(options.Validate()).NotTo(Succeed())
	}
}
