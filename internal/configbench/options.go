package configbench

import (
	"fmt"
	"slices"
	"time"
)

// Fault modes.
const (
	FaultsNone           = "none"
	FaultsPartition      = "partition"
	FaultsCrash          = "crash"
	FaultsRepairThenLoss = "repair-then-loss"
)

// Options say what is measured.
type Options struct {
	// Instances is the size of the deployment.
	Instances int
	// Group is the number of members of the control group.
	Group int
	// Changes is how many changes have to be accepted under faults.
	Changes int
	// Away is how many changes two stopped instances miss in crash mode.
	Away   int
	Faults string
	Seed   uint64
	// Interval is the time between two rounds of racing operators. It spreads
	// the changes over the faults.
	Interval time.Duration
}

// Validate reports the first impossible option.
func (o *Options) Validate() error {
	switch {
	case o.Instances < o.Group || o.Instances > maxInstances:
		return fmt.Errorf("instances: %d is not in %d to %d", o.Instances, o.Group, maxInstances)
	case o.Group != 3 && o.Group != 5:
		return fmt.Errorf("group: %d is not 3 or 5", o.Group)
	case o.Changes < 1 || o.Away < 0:
		return fmt.Errorf("changes: at least one is needed, and away must not be negative")
	case !slices.Contains([]string{FaultsNone, FaultsPartition, FaultsCrash, FaultsRepairThenLoss}, o.Faults):
		return fmt.Errorf("faults: %q is not none, partition, crash or repair-then-loss", o.Faults)
	}
	return nil
}

// maxInstances keeps addresses unique: each instance has a loopback address.
const maxInstances = 250
