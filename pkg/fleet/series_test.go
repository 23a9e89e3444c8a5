package fleet_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// defaultSeries is the number of seeded series that CI plays.
// ANVILCRANK_SCHEDULES sets the number of a longer run.
const defaultSeries = 12

func TestChangesSurviveSeriesOfLossesThatWereMadeGood(t *testing.T) {
	RegisterTestingT(t)
	count := seeds(defaultSeries)
	if v, err := strconv.ParseUint(os.Getenv("ANVILCRANK_SCHEDULES"), 10, 64); err == nil {
		count = v
	}
	for seed := range count {
		playSeries(seed)
	}
}

// playSeries draws losses one after the other, each given time to heal, while an
// operator changes routes. At the end all instances lose power and two of them
// their disks. It requires that no acknowledged change is lost, that each is in
// force in time, and that no control instance answers with an older one.
func playSeries(seed uint64) {
	s := newConfiguredSim(seed)
	version := 100
	acked := map[string]model.ItemVersion{}
	change := func() {
		version++
		name := fmt.Sprint("q", version%3)
		if s.call(s.anyControl(), ackTimeout, proposeItems(route(name, version))) == result.Success {
			acked[name] = model.ItemVersion(version)
		}
	}
	checkInForce := func(what string) {
		for name, v := range acked {
			forEachRunning(s, false, func(id model.InstanceID) {
				Expect(s.routeVersion(id, "/"+name+"/x")).To(BeNumerically(">=", v), "%s: %s at %s, seed %d", what, name, id, seed)
			})
		}
	}
	var history []string
	for n := range 6 {
		id := s.anyControl()
		kind := s.rng.IntN(6)
		history = append(history, fmt.Sprint(kind, " ", id))
		switch kind {
		case 0:
			s.replace(id, model.InstanceID(fmt.Sprint(id, "-", n)))
		case 1:
			s.crash(id)
			s.replaceDisk(id)
			s.start(s.nodes[id])
		case 2:
			s.nodes[id].diskFails = true
			change()
			s.run(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
			s.nodes[id].diskFails = false
		case 3:
			s.partition([]model.InstanceID{id}, s.order, true)
			change()
			s.run(time.Duration(s.rng.IntN(5000)) * time.Millisecond)
			s.partition([]model.InstanceID{id}, s.order, false)
		case 4:
			s.crashSilently(id)
			change()
			s.run(silentLossTimeout + time.Second)
			s.start(s.nodes[id])
		case 5:
			s.crash(id)
			s.start(s.nodes[id])
		}
		change()
		s.run(time.Second + catchUpTime)
		checkInForce(fmt.Sprint(history))
		change()
		s.run(applyTimeout)
		checkInForce(fmt.Sprint(history))
	}
	first, second := s.anyControl(), s.anyControl()
	change()
	s.losePower(first, second)
	s.run(recoveryTime)
	checkInForce(fmt.Sprint(history, "power"))
	forEachRunning(s, true, func(id model.InstanceID) {
		versions := s.itemVersions(id)
		for name, v := range acked {
			Expect(versions).To(HaveKeyWithValue(name, BeNumerically(">=", v)), "%s, %v, seed %d", id, history, seed)
		}
	})
	Expect(len(acked)).To(Equal(3), "%v, seed %d", history, seed)
	Expect(s.invariantFailures).To(BeEmpty())
}

// anyControl returns a random control instance that runs.
func (s *sim) anyControl() model.InstanceID {
	var list []model.InstanceID
	forEachRunning(s, true, func(id model.InstanceID) { list = append(list, id) })
	return list[s.rng.IntN(len(list))]
}
