package routed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// threeRegions is a deployment with many small entry instances, one small region
// and a service whose slots suffice only if most objects are cached.
func threeRegions(perSecond func(time.Duration) float64) load {
	return load{
		zones:            []model.Zone{"a1", "b1", "c1", "a2", "b2", "c2"},
		regions:          map[model.Zone]model.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"},
		upstreamsPerZone: []int{32, 38, 8, 32, 38, 8}, entriesPerZone: 10,
		slots: 4, queue: 12, cacheSize: 25, objects: 321, perSecond: perSecond,
		uncached: 768 * time.Millisecond, cached: 192 * time.Millisecond,
		objective: 500 * time.Millisecond, timeout: 1200 * time.Millisecond, deadline: 3 * time.Second,
		regionDelay: 36 * time.Millisecond, length: 30 * time.Second,
	}
}

// playedSeeds returns the number of seeds to play: fewer in short runs, which are
// those with the race detector.
func playedSeeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Guards against a service that stays overloaded by work that deadlines end before
// it is complete. The objects of that work stay uncached, so that the next requests
// for them take four times as long. The load needs two thirds of the slots if all
// objects are cached, and three times as many if none is.
var _ = It("service recovers from a start without cached objects", func() {
	for seed := range playedSeeds() {
		p := threeRegions(constant(2200)).play(seed)
		inObjective, served := p.between(10*time.Second, 30*time.Second).share()
		Expect(inObjective).To(BeNumerically(">=", 0.7), fmt.Sprint("seed ", seed))
		Expect(served).To(BeNumerically(">=", 0.9), fmt.Sprint("seed ", seed))
		Expect(p.abandoned).To(BeNumerically("<", p.runs/10), fmt.Sprint("seed ", seed))
	}
})

// Guards against an overload that outlasts the burst of requests that caused it. The
// burst is 1.4 times what the upstreams can do if all objects are cached.
var _ = It("service recovers from a burst within two seconds", func() {
	burst := func(since time.Duration) float64 {
		if since >= 12*time.Second && since < 18*time.Second {
			return 4500
		}
		return 1000
	}
	for seed := range playedSeeds() {
		p := threeRegions(burst).play(seed)
		duringBurst, _ := p.between(12*time.Second, 18*time.Second).share()
		after, _ := p.between(20*time.Second, 30*time.Second).share()
		Expect(duringBurst).To(BeNumerically(">=", 0.25), fmt.Sprint("seed ", seed))
		Expect(after).To(BeNumerically(">=", 0.95), fmt.Sprint("seed ", seed))
	}
})

// Guards against queues in which nearly every request misses its objective while
// the load exceeds what the upstreams can do. They need 0.92 of their slots if all
// objects are cached, which they never are.
var _ = It("a third of the requests meet the objective under a lasting overload", func() {
	p := threeRegions(constant(3000)).play(1)
	inObjective, served := p.between(12*time.Second, 30*time.Second).share()
	Expect(inObjective).To(BeNumerically(">=", 0.33))
	Expect(served).To(BeNumerically(">=", 0.85))
})

// Guards against refusals while the upstreams have room.
var _ = It("nothing is refused for long below the capacity", func() {
	p := threeRegions(constant(700)).play(1)
	inObjective, served := p.between(8*time.Second, 30*time.Second).share()
	Expect(inObjective).To(BeNumerically(">=", 0.9))
	Expect(served).To(BeNumerically(">=", 0.98))
})
