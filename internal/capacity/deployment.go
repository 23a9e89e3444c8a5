package capacity

import (
	"fmt"
	"runtime"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Parameters of the simulated deployments. The numbers of regions, availability
// zones and sites are those of the design scale in docs/design.md.
const (
	numRegions  = 15
	numZones    = 33
	numSites    = 520
	serviceName = model.ServiceName("steering")
	// All simulated instances have the same incarnation. Messages contain it, so
	// it has a value of realistic encoded size.
	incarnation = model.Incarnation(1_700_000_000 * 1e9)
	// startTime is the virtual time at which the simulations start.
	startTime = model.Time(1_700_000_100 * 1e9)
)

func zoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("zone-%02d", i%numZones)) }

func instanceName(i int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("entry-%05d", i))
}

// instanceAddress returns the network address of the instance with index i.
func instanceAddress(i, port int) string { return fmt.Sprintf("10.%d.%d.1:%d", i>>8, i&255, port) }

// newMember returns the entry of the instance with index i in the member list.
func newMember(i int) message.Member {
	return message.Member{ID: instanceName(i), Incarnation: incarnation, Zone: zoneName(i),
		Address: instanceAddress(i, 8080), PeerAddress: instanceAddress(i, 8081)}
}

// newConfig returns the configuration of a deployment of n instances.
func newConfig(n int) *model.Config {
	c := &model.Config{
		Version: 1,
		Profiles: []model.Profile{{Name: "short", Class: "short", Repeat: model.RetryIdempotent, MaxAttempts: 3,
			DeadlineMs: 3000, QueueLimit: 500, Spill: model.SpillAny}},
		Services: []model.Service{{Name: serviceName, Profile: "short"}},
	}
	for i := range numZones {
		c.Zones = append(c.Zones, model.ZoneInfo{Zone: zoneName(i), Region: model.Region(fmt.Sprintf("region-%02d", i%numRegions))})
	}
	for i := range n {
		c.Roster = append(c.Roster, model.RosterEntry{ID: instanceName(i), Zone: zoneName(i)})
	}
	return c
}

// encodedSize returns the encoded size of a message in bytes.
func encodedSize(m message.Message) int {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// heapBytes runs the garbage collector and returns the number of bytes that the
// remaining objects occupy on the heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
