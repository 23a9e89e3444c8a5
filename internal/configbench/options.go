package configbench

import (
	"fmt"
	"slices"
	"time"
)

// Fault modes: no faults, isolated instances, killed instances, and repair-then-loss.
// In the last one, a member of the control group loses its disk and becomes a voter
// again, and then another member is killed.
const (
	FaultModeNone           = "none"
	FaultModePartition      = "partition"
	FaultModeCrash          = "crash"
	FaultModeRepairThenLoss = "repair-then-loss"
)

// Options configures a run of the benchmark.
type Options struct {
	// Instances is the number of instances of the deployment.
	Instances int
	// GroupSize is the number of members of the control group.
	GroupSize int
	// Changes is the number of changes that must be accepted while faults are
	// injected.
	Changes int
	// MissedChanges is the number of changes that stopped instances miss with
	// FaultModeCrash. It is used to measure how long instances take to catch up
	// after their restart.
	MissedChanges int
	FaultMode     string
	Seed          uint64
	// RaceInterval is the pause between two races of operators. It spreads the
	// changes over the time in which faults are injected.
	RaceInterval time.Duration
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.Instances < o.GroupSize || o.Instances > maxInstances:
		return fmt.Errorf("instances: %d is not in %d to %d", o.Instances, o.GroupSize, maxInstances)
	case o.GroupSize != 3 && o.GroupSize != 5:
		return fmt.Errorf("group: %d is not 3 or 5", o.GroupSize)
	case o.Changes < 1 || o.MissedChanges < 0:
		return fmt.Errorf("changes: must be at least 1, and away must not be negative")
	case !slices.Contains([]string{FaultModeNone, FaultModePartition, FaultModeCrash, FaultModeRepairThenLoss}, o.FaultMode):
		return fmt.Errorf("faults: %q is not none, partition, crash or repair-then-loss", o.FaultMode)
	}
	return nil
}

// maxInstances bounds the number of instances, because the last byte of an
// instance's loopback IP address is its index plus 1.
const maxInstances = 250
