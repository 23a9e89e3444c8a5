package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Each promise is broken once: a soak whose checks see nothing proves nothing.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	cases := map[string]func(l *Ledger, wait func(time.Duration)){
		"UNASKED": func(l *Ledger, _ func(time.Duration)) { l.RequestReceived("u", "s", "unknown", "/") },
		"TWICE": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", true)
			l.RequestExecuted("u", "s", "1", "/")
			l.RequestExecuted("v", "s", "1", "/")
		},
		"REFUSED": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", true)
			l.RequestExecuted("u", "s", "1", "/")
			l.Ended("1", 503, false, false)
		},
		"REFUSED later": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", true)
			l.Ended("1", 429, false, false)
			l.RequestExecuted("u", "s", "1", "/")
		},
		"MIXED": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", false)
			l.Ended("1", 200, true, false)
		},
		"DENIED": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", false)
			l.Ended("1", 404, false, false)
		},
		"DRAIN": func(l *Ledger, wait func(time.Duration)) {
			l.Left("u")
			wait(drainBound + time.Second)
			l.Sent("1", "r", false)
			l.RequestReceived("u", "s", "1", "/")
		},
		"ROUTE": func(l *Ledger, wait func(time.Duration)) {
			l.Proposed("r", 2, "new")
			l.Acked("r", 2)
			wait(applyBound + time.Second)
			l.Sent("1", "r", false)
			l.RequestExecuted("u", "s", "1", "/")
		},
		"BUDGET": func(l *Ledger, _ func(time.Duration)) {
			for i := range 20 {
				id := fmt.Sprint(i)
				l.Sent(id, "r", false)
				l.RequestReceived("u", "s", id, "/")
				l.RequestReceived("v", "s", id, "/")
			}
		},
		"LOST": func(l *Ledger, _ func(time.Duration)) {
			l.Sent("1", "r", false)
			l.RequestReceived("u", "s", "1", "/")
			l.Cut("1", "e1")
		},
		"LOST version": func(l *Ledger, _ func(time.Duration)) {
			l.Acked("r", 3)
			l.ReadBack("c1", map[string]uint32{"r": 2})
		},
	}
	for name, breakIt := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1_000_000, 0)
			l := NewLedger(func() time.Time { return now }, 10)
			l.Proposed("r", 1, "s")
			breakIt(l, func(d time.Duration) { now = now.Add(d) })
			g.Expect(l.Violations()).NotTo(BeEmpty())
			g.Expect(l.Violations()[0]).To(ContainSubstring(name[:4]))
		})
	}
}

// Guards against a check that reports what the promises allow.
func TestAllowedEndsAreNoViolations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	l := NewLedger(func() time.Time { return now }, 10)
	l.Proposed("r", 1, "s")
	l.Sent("1", "r", true)
	l.RequestReceived("u", "s", "1", "/")
	l.RequestExecuted("u", "s", "1", "/")
	l.Ended("1", 502, false, false)
	l.Sent("2", "r", true)
	l.Ended("2", 503, false, false)
	l.Sent("3", "r", false)
	l.RequestReceived("u", "s", "3", "/")
	l.RequestExecuted("u", "s", "3", "/")
	l.Ended("3", 200, true, true)
	l.Left("u")
	l.Sent("4", "r", false)
	l.RequestReceived("u", "s", "4", "/")
	g.Expect(l.Violations()).To(BeEmpty())
}
