package configbench

import (
	"fmt"
	"slices"
	"time"
)

// Fault modes.
const (
	FaultModeNone           = "none"
	FaultModePartition      = "partition"
	FaultModeCrash          = "crash"
	FaultModeRepairThenLoss = "repair-then-loss"
)

// Options say what is measured.
type Options struct {
	// Instances is the size of the deployment.
	Instances int
	// Group is the number of members of the control group.
	GroupSize int
	// Changes is how many changes have to be accepted under faults.
	Changes int
	// Away is how many changes two stopped instances miss in crash mode.
	MissedChanges int
	FaultMode     string
	Seed          uint64
	// Interval is the time between two rounds of racing operators. It spreads
	// the changes over the faults.
	RoundInterval time.Duration
}

// Validate reports the first impossible option.
func (o *Options) Validate() error {
	switch {
	case o.Instances < o.GroupSize || o.Instances > maxInstances:
		return fmt.Errorf("instances: %d is not in %d to %d", o.Instances, o.GroupSize, maxInstances)
	case o.GroupSize != 3 && o.GroupSize != 5:
		return fmt.Errorf("group: %d is not 3 or 5", o.GroupSize)
	case o.Changes < 1 || o.MissedChanges < 0:
		return fmt.Errorf("changes: at least one is needed, and away must not be negative")
	case !slices.Contains([]string{FaultModeNone, FaultModePartition, FaultModeCrash, FaultModeRepairThenLoss}, o.FaultMode):
		return fmt.Errorf("faults: %q is not none, partition, crash or repair-then-loss", o.FaultMode)
	}
	return nil
}

// maxInstances keeps addresses unique: each instance has a loopback address.
const maxInstances = 250
