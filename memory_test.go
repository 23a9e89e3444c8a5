package anvilcrank_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// startControl starts the only control instance of a deployment on a data folder and returns
// it with a function that ends it.
func startControl(g *WithT, data string, memoryBytes int64) (*anvilcrank.Node, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	peerListen := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	node, err := anvilcrank.NewNode(anvilcrank.NodeConfig{ID: "c", Name: "c", Control: true, Zone: "z", Regions: map[model.Zone]model.Region{"z": "r"},
		PeerListen: peerListen, BootstrapMembers: []model.InstanceID{"c"}, Data: data, LogLevel: "info", LogOutput: io.Discard,
		HeartbeatInterval: 10 * time.Second, StopGracePeriod: time.Second, MemoryBytes: memoryBytes})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Run(ctx)
	}()
	return node, func() {
		cancel()
		<-ended
	}
}

// manyRoutes returns a change of the service and count routes.
func manyRoutes(count int, version model.ItemVersion) []model.Item {
	items := []model.Item{{Key: model.ItemKey{Kind: model.ServiceItem, Name: "s"}, Version: version, Service: &model.ServiceSpec{}, Document: []byte("s")}}
	for i := range count {
		document := fmt.Sprintf("%0256d", int(version)*count+i)
		items = append(items, model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: fmt.Sprint("r", i)}, Version: version, Document: []byte(document),
			Route: &model.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Timeout: 2 * time.Second, MaxAttempts: 2, Splits: []model.Split{{Service: "s", Weight: 1}}}})
	}
	return items
}

// readItems reads the items of a node once it answers.
func readItems(g *WithT, node *anvilcrank.Node, wait time.Duration) []model.Item {
	var items []model.Item
	g.Eventually(func() (err error) {
		items, err = node.Items(context.Background())
		return err
	}).WithTimeout(wait).Should(Succeed())
	return items
}

// Guards against a control instance that needs several times the size of its log to read it
// and so never comes up again within its memory. Versions that compacted the log by the
// number of changes only have left such logs.
func TestControlInstanceReadsALargeLogWithinItsMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("uses 300 MB")
	}
	const (
		memoryBytes = 280 << 20
		changes     = 900
		routes      = 350
	)
	g := NewWithT(t)
	data := t.TempDir()
	node, stop := startControl(g, data, memoryBytes)
	g.Eventually(func() error { return node.ChangeItems(context.Background(), manyRoutes(routes, 1), 0) }).WithTimeout(10 * time.Second).Should(Succeed())
	stop()
	logBytes := appendChanges(g, data, changes, routes)
	debug.FreeOSMemory()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(memoryBytes * memory.RuntimeShare)))
	peak := make(chan uint64)
	sampled := make(chan struct{})
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse+m.StackInuse)
			select {
			case <-sampled:
				peak <- most
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	node, stop = startControl(g, data, memoryBytes)
	items := readItems(g, node, 15*time.Second)
	close(sampled)
	most := <-peak
	stop()
	g.Expect(items).To(HaveLen(routes + 1))
	g.Expect(items[0].Version).To(BeEquivalentTo(changes + 1))
	t.Logf("log of %d MB, at most %d MB in use", logBytes>>20, most>>20)
	g.Expect(most).To(BeNumerically("<=", memoryBytes))
}

// appendChanges appends committed changes to the log in a data folder, as they were written
// one by one, and returns their size.
func appendChanges(g *WithT, data string, changes, routes int) int {
	folder, err := storage.OpenFolder(data)
	g.Expect(err).NotTo(HaveOccurred())
	s, err := storage.Open(folder)
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	contents := s.Contents()
	index, term := contents.Snapshot.Index+uint64(len(contents.Entries)), contents.Hard.Term
	size := 0
	for i := range changes {
		command, err := codec.CommandCodec{}.EncodeCommand(&catalog.Command{Items: manyRoutes(routes, model.ItemVersion(i+2))})
		g.Expect(err).NotTo(HaveOccurred())
		index++
		size += len(command)
		hard := contents.Hard
		hard.Commit = index
		g.Expect(s.Write([]event.Persist{{Hard: hard, Entries: []message.Entry{{Index: index, Term: term, Kind: message.EntryData, Data: command}}}})).To(Succeed())
	}
	return size
}
