package fleet_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Guards against a log that grows with the size of the changes, so that a process cannot read
// it any more when it starts: the log was replaced by a snapshot after 1,024 changes only.
func TestLogIsReplacedByASnapshotBeforeItIsLarge(t *testing.T) {
	RegisterTestingT(t)
	const (
		changes     = 80
		changeBytes = 500_000
		// maxLogBytes leaves room for the changes that are not applied yet.
		maxLogBytes = 8 << 20
	)
	s := newConfiguredSim(3)
	for i := range changes {
		large := route("r", 20+i)
		large.Document = bytes.Repeat([]byte{byte(i)}, changeBytes)
		Expect(s.call("core-a1", ackTimeout, proposeItems(large))).To(Equal(result.Success))
		forEachRunning(s, true, func(id model.InstanceID) {
			size := 0
			for _, e := range s.nodes[id].stored.Entries {
				size += len(e.Data)
			}
			Expect(size).To(BeNumerically("<=", maxLogBytes), "%s after %d changes", id, i+1)
		})
	}
	s.run(5 * time.Second)
	forEachRunning(s, true, func(id model.InstanceID) {
		Expect(s.itemVersions(id)).To(HaveKeyWithValue("r", BeEquivalentTo(20+changes-1)), string(id))
	})
	Expect(s.invariantFailures).To(BeEmpty())
}
