package fake

import (
	"math"
	"math/rand/v2"
	"time"
)

// Work is a log-normal distribution of service times.
type ServiceTime struct {
	Mean time.Duration
	// Sigma is the standard deviation of the logarithm; 0 makes all times equal.
	Sigma float64
}

// maxWork bounds a service time as a multiple of the mean, so that one draw
// cannot outlast a run.
const maxWork = 6

// draw returns one service time.
func (w ServiceTime) draw(rng *rand.Rand) time.Duration {
	factor := math.Exp(w.Sigma*rng.NormFloat64() - w.Sigma*w.Sigma/2)
	return time.Duration(float64(w.Mean) * min(factor, maxWork))
}

// Cold describes an upstream that starts without a filled cache.
type ColdCache struct {
	// Factor multiplies the service time of the first request.
	SlowdownFactor float64
	// Requests is how many requests fill the cache; the factor falls evenly.
	WarmUpRequests int
}

// slowdown returns the factor for the next request after served ones.
func (c ColdCache) slowdown(served int) float64 {
	if served >= c.WarmUpRequests {
		return 1
	}
	return 1 + (c.SlowdownFactor-1)*float64(c.WarmUpRequests-served)/float64(c.WarmUpRequests)
}

// Reports describes how an upstream's announcements misbehave.
type AnnouncementFaults struct {
	// Lag is the age of the load in announcements.
	LoadAge time.Duration
	// Stopped upstreams announce nothing, though they run.
	Stopped bool
}

// sample is the load of an upstream at one time.
type sample struct {
	at       time.Time
	inFlight int
}

// loadHistory keeps past loads for reports that lag.
type loadHistory struct{ samples []sample }

// keepSamples bounds the history; announcements add a sample each 500 ms.
const keepSamples = 64

func (h *loadHistory) add(s sample) {
	if len(h.samples) == keepSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, s)
}

// at returns the load that was current at the time.
func (h *loadHistory) at(t time.Time) int {
	load := 0
	for _, s := range h.samples {
		if s.at.After(t) {
			break
		}
		load = s.inFlight
	}
	return load
}
