package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against checks that miss a violation. Each case violates one guarantee.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	cases := map[string]func(c *Checker, advance func(time.Duration)){
		"UNASKED": func(c *Checker, _ func(time.Duration)) { c.RequestReceived("u", "s", "unknown", "/") },
		"TWICE": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", true)
			c.RequestExecuted("u", "s", "1", "/")
			c.RequestExecuted("v", "s", "1", "/")
		},
		"REFUSED": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", true)
			c.RequestExecuted("u", "s", "1", "/")
			c.RequestEnded("1", 503, false, false)
		},
		"REFUSED later": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", true)
			c.RequestEnded("1", 429, false, false)
			c.RequestExecuted("u", "s", "1", "/")
		},
		"MIXED": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", false)
			c.RequestEnded("1", 200, true, false)
		},
		"DENIED": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", false)
			c.RequestEnded("1", 404, false, false)
		},
		"DRAIN": func(c *Checker, advance func(time.Duration)) {
			c.DrainAcked("u")
			advance(maxDrainDelay + time.Second)
			c.RequestSent("1", "r", false)
			c.RequestReceived("u", "s", "1", "/")
		},
		"ROUTE": func(c *Checker, advance func(time.Duration)) {
			c.VersionProposed("r", 2, "new")
			c.VersionAcked("r", 2)
			advance(maxApplyDelay + time.Second)
			c.RequestSent("1", "r", false)
			c.RequestExecuted("u", "s", "1", "/")
		},
		"BUDGET": func(c *Checker, _ func(time.Duration)) {
			for i := range 20 {
				id := fmt.Sprint(i)
				c.RequestSent(id, "r", false)
				c.RequestReceived("u", "s", id, "/")
				c.RequestReceived("v", "s", id, "/")
			}
		},
		"UNASKED body": func(c *Checker, _ func(time.Duration)) { c.BodyReceived("u", "1", 3, false) },
		"EVAC": func(c *Checker, advance func(time.Duration)) {
			c.UpstreamStarted("u", "z")
			c.EvacuationAcked("z")
			advance(maxEvacuationDelay + time.Second)
			for i := range maxEvacuatedArrivals + 1 {
				id := fmt.Sprint(i)
				c.RequestSent(id, "r", false)
				c.RequestReceived("u", "s", id, "/")
			}
		},
		"DRAIN stated": func(c *Checker, advance func(time.Duration)) {
			c.LeavingStated("u")
			for _, id := range []string{"1", "2"} {
				c.RequestSent(id, "r", false)
				c.RequestReceived("u", "s", id, "/")
				advance(maxDrainDelay + time.Second)
			}
		},
		"BUDGET stated": func(c *Checker, advance func(time.Duration)) {
			c.PauseStated("u", time.Unix(1_000_000, 0).Add(3*time.Second), 2)
			for i := range 4 {
				id := fmt.Sprint(i)
				c.RequestSent(id, "r", false)
				c.RequestReceived("u", "s", id, "/")
				advance(pauseMargin + 100*time.Millisecond)
			}
		},
		"LIMIT": func(c *Checker, advance func(time.Duration)) {
			c.LimitStated("u", 1, time.Unix(1_000_000, 0).Add(time.Minute))
			for i := range 30 {
				id := fmt.Sprint(i)
				c.RequestSent(id, "r", false)
				c.RequestReceived("u", "s", id, "/")
				if i == 0 {
					advance(faultGracePeriod + limitWindow + time.Second)
				}
			}
		},
		"LOST": func(c *Checker, _ func(time.Duration)) {
			c.RequestSent("1", "r", false)
			c.RequestReceived("u", "s", "1", "/")
			c.ConnectionCutByStop("1", "e1")
		},
		"LOST version": func(c *Checker, _ func(time.Duration)) {
			c.VersionAcked("r", 3)
			c.CheckVersions("c1", map[string]uint32{"r": 2})
		},
	}
	for name, breakPromise := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1_000_000, 0)
			c := NewChecker(func() time.Time { return now }, 10)
			c.VersionProposed("r", 1, "s")
			breakPromise(c, func(d time.Duration) { now = now.Add(d) })
			g.Expect(c.Violations()).NotTo(BeEmpty())
			g.Expect(c.Violations()[0]).To(ContainSubstring(name[:4]))
		})
	}
}

// Guards against checks that report a violation for an allowed outcome.
func TestAllowedOutcomesAreNoViolations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	c := NewChecker(func() time.Time { return now }, 10)
	c.VersionProposed("r", 1, "s")
	c.RequestSent("1", "r", true)
	c.RequestReceived("u", "s", "1", "/")
	c.RequestExecuted("u", "s", "1", "/")
	c.RequestEnded("1", 502, false, false)
	c.RequestSent("2", "r", true)
	c.RequestEnded("2", 503, false, false)
	c.RequestSent("3", "r", false)
	c.RequestReceived("u", "s", "3", "/")
	c.RequestExecuted("u", "s", "3", "/")
	c.RequestEnded("3", 200, true, true)
	c.DrainAcked("u")
	c.RequestSent("4", "r", false)
	c.RequestReceived("u", "s", "4", "/")
	g.Expect(c.Violations()).To(BeEmpty())
}
