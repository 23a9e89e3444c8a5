package inbound

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// candidateOf returns a candidate whose process waits for it.
func candidateOf(id uint64, s stage, held int64, stall time.Duration) candidate {
	return candidate{conn: &Conn{id: id}, stage: s, held: held, stall: stall, waiting: true}
}

func chosenIDs(closings []closing) []uint64 {
	var ids []uint64
	for _, c := range closings {
		ids = append(ids, c.conn.id)
	}
	return ids
}

// Guards against room that is made at the cost of callers who make progress.
func TestConnectionsThatMakeTheLeastProgressGoFirst(t *testing.T) {
	g := NewWithT(t)
	const kilobyte = 1 << 10
	newcomer := candidateOf(1, readingHead, 50*kilobyte, minStall/2)
	idleCaller := candidateOf(2, idle, 16*kilobyte, 10*time.Second)
	manyLines := candidateOf(3, readingHead, 400*kilobyte, 0)
	unfinishedBody := candidateOf(4, serving, 250*kilobyte, 3*time.Second)
	slowLink := candidateOf(5, serving, 300*kilobyte, minStall/2)
	running := candidateOf(6, serving, 900*kilobyte, time.Minute)
	running.waiting = false
	all := []candidate{newcomer, idleCaller, manyLines, unfinishedBody, slowLink, running}
	g.Expect(chosenIDs(chooseForMemory(all, 1))).To(Equal([]uint64{4}))
	g.Expect(chosenIDs(chooseForMemory(all, 260*kilobyte))).To(Equal([]uint64{4, 2}))
	g.Expect(chosenIDs(chooseForMemory(all, 1<<30))).To(Equal([]uint64{4, 2, 3}))
}

// Guards against an idle caller that is kept at the cost of one that sends.
func TestTheLongestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	all := []candidate{candidateOf(1, idle, 1, 3*time.Second), candidateOf(2, idle, 1, 9*time.Second), candidateOf(3, idle, 1, 0), candidateOf(4, idle, 1, 5*time.Second)}
	g.Expect(chosenIDs(chooseForDescriptors(all, 2))).To(Equal([]uint64{2, 4}))
	g.Expect(chosenIDs(chooseForDescriptors(all, 9))).To(Equal([]uint64{2, 4, 1}))
}

// Guards against the loss of a link between instances for the connections of callers.
func TestLinksBetweenInstancesStayUnlessSilent(t *testing.T) {
	g := NewWithT(t)
	all := []candidate{candidateOf(1, linked, 1, 2*time.Second), candidateOf(2, linked, 1, minLinkSilence)}
	g.Expect(chosenIDs(chooseForDescriptors(all, 2))).To(Equal([]uint64{2}))
}
