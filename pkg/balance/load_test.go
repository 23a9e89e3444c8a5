package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// loadModel describes the load on one region and its upstreams. The work time
// on an object is shorter if the object is in the upstream's cache, which holds
// the most recently used objects.
type loadModel struct {
	upstreams int
	// otherRegionUpstreams is the number of upstreams in another region. The
	// response times of these are longer by otherRegionDelay.
	otherRegionUpstreams int
	otherRegionDelay     time.Duration
	slots                int
	objects              int
	// cacheSize is the number of objects in the cache of an upstream.
	cacheSize                int
	requestsPerSecond        int
	uncachedTime, cachedTime time.Duration
	objective                time.Duration
	// timeout is how long callers wait for a response.
	timeout time.Duration
}

// upstreamModel simulates one upstream. cached holds the objects in its cache,
// the most recently used last.
type upstreamModel struct {
	cached []string
	queue  []job
	busy   int
}

type job struct {
	arrivedAt model.Time
	object    string
	choice    balance.Choice
	entry     *balance.State
}

type completion struct {
	at       model.Time
	upstream *upstreamModel
	job      job
}

// run sends the load through two entry instances for the given duration. It
// returns the share of requests whose response is complete within the
// objective. If useAffinity is false, the requests have no affinity keys, so
// the instances select upstreams by distance and load only.
func (l *loadModel) run(seed uint64, length time.Duration, useAffinity bool) float64 {
	random := rand.New(rand.NewPCG(seed, 2))
	r := newRegistry(map[model.Zone]int{"a1": l.upstreams, "b1": l.otherRegionUpstreams}, l.slots)
	entries := []*balance.State{newInstance("a1", r, newCatalog(0)), newInstance("a1", r, newCatalog(0))}
	models := map[model.UpstreamID]*upstreamModel{}
	var running []completion
	withinObjective, total := 0, 0
	startWork := func(at model.Time, s *upstreamModel, j job) {
		responseTime := l.uncachedTime
		if k := slices.Index(s.cached, j.object); k >= 0 {
			responseTime = l.cachedTime
			s.cached = slices.Delete(s.cached, k, k+1)
		}
		s.cached = append(s.cached, j.object)
		if len(s.cached) > l.cacheSize {
			s.cached = s.cached[1:]
		}
		s.busy++
		running = append(running, completion{at.Add(responseTime), s, j})
	}
	advance := func(at model.Time) {
		for {
			k := -1
			for i := range running {
				if running[i].at <= at && (k < 0 || running[i].at < running[k].at) {
					k = i
				}
			}
			if k < 0 {
				return
			}
			f := running[k]
			running = slices.Delete(running, k, k+1)
			f.upstream.busy--
			responseTime := f.at.Sub(f.job.arrivedAt)
			if f.job.choice.Zone != "a1" {
				responseTime += l.otherRegionDelay
			}
			if responseTime <= l.objective {
				withinObjective++
			}
			f.job.entry.Ended(f.at, f.job.choice.ID, &balance.End{Result: balance.Answered, Cached: f.job.choice.Cached, QueueTime: f.job.choice.QueueTime, ResponseTime: responseTime,
				Load: &model.LoadReport{Running: f.upstream.busy, Waiting: len(f.upstream.queue), Slots: l.slots, Slowdown: 1}})
			for len(f.upstream.queue) > 0 {
				next := f.upstream.queue[0]
				f.upstream.queue = f.upstream.queue[1:]
				if f.at.Sub(next.arrivedAt) > l.timeout {
					next.entry.Ended(f.at, next.choice.ID, &balance.End{Result: balance.Refused})
					continue
				}
				startWork(f.at, f.upstream, next)
				break
			}
		}
	}
	interval := time.Second / time.Duration(l.requestsPerSecond)
	for at := start; at < start.Add(length); at = at.Add(interval) {
		advance(at)
		total++
		entry := entries[random.IntN(len(entries))]
		object := fmt.Sprint(random.IntN(l.objects))
		q := balance.Query{Service: "reads", Objective: l.objective}
		if useAffinity {
			q.AffinityKey = object
		}
		c, ok := entry.Choose(at, &q)
		if !ok || c.ResponseTime > l.timeout {
			continue
		}
		entry.Sent(at, &c)
		s := models[c.ID]
		if s == nil {
			s = &upstreamModel{}
			models[c.ID] = s
		}
		j := job{at, object, c, entry}
		switch {
		case s.busy < l.slots:
			startWork(at, s, j)
		case len(s.queue) < 3*l.slots:
			s.queue = append(s.queue, j)
		default:
			entry.Ended(at, c.ID, &balance.End{Result: balance.Refused})
		}
	}
	return float64(withinObjective) / float64(total)
}

// Guards against a service that stays saturated with work on uncached objects.
// The load needs 1.6 times the existing slots if all objects are uncached, and
// half of them if all are cached. The baseline selects upstreams without
// affinity keys.
var _ = It("affinity keys keep objects cached under a load that is too high for uncached objects", func() {
	l := loadModel{upstreams: 8, slots: 9, objects: 137, cacheSize: 40, requestsPerSecond: 350,
		uncachedTime: 330 * time.Millisecond, cachedTime: 99 * time.Millisecond, objective: 400 * time.Millisecond, timeout: time.Second}
	var gains []float64
	for seed := range uint64(5) {
		achieved := l.run(seed, 20*time.Second, true)
		baseline := l.run(seed, 20*time.Second, false)
		Expect(achieved).To(BeNumerically(">=", 0.9), fmt.Sprintf("seed %d: baseline %.3f", seed, baseline))
		gains = append(gains, achieved/max(baseline, 0.001))
	}
	slices.Sort(gains)
	Expect(gains[len(gains)/2]).To(BeNumerically(">", 1.5))
})

// Guards against sending the requests for an object to both upstreams of a
// small region in turn. Each upstream would then need all objects in its cache,
// which is too small for them.
var _ = It("small region caches each object at one upstream only", func() {
	l := loadModel{upstreams: 2, slots: 9, objects: 137, cacheSize: 90, requestsPerSecond: 120,
		uncachedTime: 330 * time.Millisecond, cachedTime: 99 * time.Millisecond, objective: 400 * time.Millisecond, timeout: time.Second}
	for seed := range uint64(5) {
		Expect(l.run(seed, 20*time.Second, true)).To(BeNumerically(">=", 0.8), fmt.Sprintf("seed %d", seed))
	}
})

// Guards against sending each request of a small region to the region that is
// cheapest at that moment. Objects are then uncached at most upstreams that
// receive requests for them. The small region's slots support less than half of
// the load, and the work times are those of the larger deployments. If all
// objects were cached, all requests would meet the objective.
var _ = It("small region sends requests for part of its objects to other regions", func() {
	l := loadModel{upstreams: 2, otherRegionUpstreams: 18, otherRegionDelay: 110 * time.Millisecond, slots: 9, objects: 305, cacheSize: 21, requestsPerSecond: 100,
		uncachedTime: 1680 * time.Millisecond, cachedTime: 420 * time.Millisecond, objective: 1200 * time.Millisecond, timeout: 3 * time.Second}
	for seed := range uint64(5) {
		Expect(l.run(seed, 40*time.Second, true)).To(BeNumerically(">=", 0.8), fmt.Sprintf("seed %d", seed))
	}
})

// Guards against entry instances that each send the requests for an object to a
// different upstream of other regions. The object would then be cached at up to
// as many upstreams as there are entry instances.
var _ = It("instances agree on the upstream of an object of another region", func() {
	r := newRegistry(map[model.Zone]int{"a1": 1, "b1": 8, "c1": 8}, 9)
	otherRegionCount := 0
	for i := range 64 {
		q := balance.Query{AffinityKey: fmt.Sprint("object", i)}
		first := mustChoose(newInstance("a1", r, newCatalog(0)), start, q)
		Expect(mustChoose(newInstance("a2", r, newCatalog(0)), start, q).ID).To(Equal(first.ID))
		Expect(first.Cached).To(BeTrue())
		if regions[first.Zone] != "a" {
			otherRegionCount++
		}
	}
	Expect(otherRegionCount).To(BeNumerically("~", 64*14/17, 10))
})

// Guards against sending all requests to an instance's own region, whatever the
// utilization of the upstreams there, because the instance learned of these
// upstreams first. This can happen if the instance starts under load.
var _ = It("instance sends requests to other regions even if it learns of their upstreams late", func() {
	r := newRegistry(map[model.Zone]int{"a1": 1}, 4)
	s := newInstance("a1", r, newCatalog(0))
	at := start
	request := func(k int) string {
		at = at.Add(5 * time.Millisecond)
		c := mustChoose(s, at, balance.Query{AffinityKey: fmt.Sprint(k % 200), Objective: 10 * time.Second})
		s.Sent(at, &c)
		s.Ended(at, c.ID, &balance.End{Result: balance.Answered, Cached: true, ResponseTime: 50 * time.Millisecond,
			Load: &model.LoadReport{Running: map[bool]int{true: 4, false: 0}[c.Zone == "a1"], Waiting: 0, Slots: 4, Slowdown: 1}})
		return string(regions[c.Zone])
	}
	for k := range 20 {
		Expect(request(k)).To(Equal("a"))
	}
	allRegions := newRegistry(map[model.Zone]int{"a1": 1, "b1": 4, "c1": 4}, 4)
	s.Sync(at, allRegions, newCatalog(0), false)
	otherRegionCount := 0
	for k := range 4000 {
		if request(k) != "a" && k >= 3000 {
			otherRegionCount++
		}
	}
	Expect(otherRegionCount).To(BeNumerically(">", 500))
})
