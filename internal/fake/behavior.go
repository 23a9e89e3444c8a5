package fake

import (
	"math"
	"math/rand/v2"
	"time"
)

// ServiceTime is a log-normal distribution of service times. The service time
// of a request is how long an upstream without slowdowns takes to execute it.
type ServiceTime struct {
	Mean time.Duration
	// Sigma is the standard deviation of the logarithm of a service time; 0
	// makes all service times equal.
	Sigma float64
}

// maxServiceTimeFactor bounds a service time as a multiple of the mean, so that
// no single request lasts longer than the benchmark or test.
const maxServiceTimeFactor = 6

// draw returns a random service time from the distribution.
func (w ServiceTime) draw(rng *rand.Rand) time.Duration {
	factor := math.Exp(w.Sigma*rng.NormFloat64() - w.Sigma*w.Sigma/2)
	return time.Duration(float64(w.Mean) * min(factor, maxServiceTimeFactor))
}

// ColdCache describes how much slower an upstream is while its cache fills.
type ColdCache struct {
	// SlowdownFactor multiplies the service time of the first request.
	SlowdownFactor float64
	// WarmUpRequests is the number of requests that fill the cache. While they
	// are executed, the factor falls linearly to 1.
	WarmUpRequests int
}

// slowdown returns the factor for the service time of the next request. served
// is the number of requests executed since the cache was emptied.
func (c ColdCache) slowdown(served int) float64 {
	if served >= c.WarmUpRequests {
		return 1
	}
	return 1 + (c.SlowdownFactor-1)*float64(c.WarmUpRequests-served)/float64(c.WarmUpRequests)
}

// AnnouncementFaults describes faults in the announcements of an upstream.
type AnnouncementFaults struct {
	// LoadAge is the age of the load that announcements report.
	LoadAge time.Duration
	// Stopped makes the upstream send no announcements while it still serves
	// requests.
	Stopped bool
}

// loadSample is the number of requests at an upstream at one point in time.
type loadSample struct {
	at       time.Time
	inFlight int
}

// loadHistory keeps past loads for announcements that report an old load.
type loadHistory struct{ samples []loadSample }

// maxLoadSamples is the number of samples that a history keeps. Each announcement
// adds one sample, so a history covers maxLoadSamples times announceInterval.
const maxLoadSamples = 64

func (h *loadHistory) add(sample loadSample) {
	if len(h.samples) == maxLoadSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, sample)
}

// inFlightAt returns the number of requests that were at the upstream at the
// given time, 0 before the first sample.
func (h *loadHistory) inFlightAt(t time.Time) int {
	inFlight := 0
	for _, sample := range h.samples {
		if sample.at.After(t) {
			break
		}
		inFlight = sample.inFlight
	}
	return inFlight
}
