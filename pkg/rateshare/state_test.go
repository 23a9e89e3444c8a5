package rateshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/rateshare"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rateshare")
}

const start = model.Time(1000 * time.Second)

// reportAll reports the demands of several instances for one upstream in some
// rounds and returns the last share of each instance.
func reportAll(s *rateshare.State, limit float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	for round := range 4 {
		at := start.Add(rateshare.Validity + model.Duration(round)*rateshare.ReportInterval)
		for i, perSecond := range demands {
			reply := s.Report(at, model.InstanceID(fmt.Sprintf("e%02d", i)), []message.RateDemand{{Upstream: 7, Limit: limit, PerSecond: perSecond}})
			ExpectWithOffset(1, reply).To(HaveLen(1))
			shares[i] = reply[0].PerSecond
		}
	}
	return shares
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Guards against a limit that is left unused because instances without requests
// hold parts of it.
var _ = It("shares follow the demand and use the limit", func() {
	shares := reportAll(rateshare.New(start), 20, []float64{30, 10, 0, 0})
	Expect(shares[0]).To(BeNumerically("~", 14.25, 0.1))
	Expect(shares[1]).To(BeNumerically("~", 4.75, 0.1))
	Expect(shares[2:]).To(HaveEach(0.0))
})

// Guards against many instances that each may send one request at any time, and
// against more than the limit in total.
var _ = It("low limit is divided among a few of many instances", func() {
	demands := make([]float64, 79)
	for i := range demands {
		demands[i] = 0.13
	}
	shares := reportAll(rateshare.New(start), 1.4, demands)
	Expect(sum(shares)).To(BeNumerically("<=", 1.4))
	Expect(sum(shares)).To(BeNumerically(">=", 1.3))
	for _, share := range shares {
		Expect(share).To(Or(BeZero(), BeNumerically(">=", 0.5)))
	}
})

// Guards against an instance that gets no share of any upstream, because others
// have a little more demand.
var _ = It("shares in many upstreams with low limits follow the demand of each instance", func() {
	demands := []float64{6, 5, 5, 4, 4, 4, 3, 3, 3, 3}
	total := make([]float64, len(demands))
	for upstream := range uint64(200) {
		s := rateshare.New(start)
		for round := range 2 {
			for i, perSecond := range demands {
				reply := s.Report(start.Add(rateshare.Validity), model.InstanceID(fmt.Sprint("e", i)),
					[]message.RateDemand{{Upstream: upstream * 7919, Limit: 1.8, PerSecond: perSecond}})
				if round == 1 { // all demands are known
					total[i] += reply[0].PerSecond
				}
			}
		}
	}
	for i, perSecond := range demands {
		Expect(total[i] / sum(total)).To(BeNumerically("~", perSecond/sum(demands), 0.04))
	}
})

// Guards against a limit below the smallest share that nobody may use.
var _ = It("limit below the smallest share goes to one instance", func() {
	Expect(sum(reportAll(rateshare.New(start), 0.2, []float64{1, 2, 3}))).To(BeNumerically("~", 0.19, 0.001))
})

// Guards against granting a limit twice: instances may still use shares that the
// previous leader granted.
var _ = It("new leader grants no shares until earlier ones have expired", func() {
	s := rateshare.New(start)
	demand := []message.RateDemand{{Upstream: 7, Limit: 5, PerSecond: 9}}
	Expect(s.Report(start.Add(rateshare.Validity-1), "e", demand)).To(BeEmpty())
	Expect(s.Report(start.Add(rateshare.Validity), "e", demand)).To(HaveLen(1))
})

// Guards against a share that stays reserved for an instance that is lost.
var _ = It("demand that is no longer reported frees its share", func() {
	s := rateshare.New(start)
	reportAll(s, 10, []float64{5, 5})
	later := start.Add(10 * time.Second)
	reply := s.Report(later, "e00", []message.RateDemand{{Upstream: 7, Limit: 10, PerSecond: 5}})
	Expect(reply[0].PerSecond).To(BeNumerically("~", 9.5, 0.001))
})

// Guards against instances that keep to a limit that has ended, because they have
// no share and so receive no response.
var _ = It("the latest statement about the limit is passed on", func() {
	s := rateshare.New(start)
	at := start.Add(rateshare.Validity)
	s.Report(at, "e00", []message.RateDemand{{Upstream: 7, Limit: 0, PerSecond: 5, StatementAgeMs: 100}})
	reply := s.Report(at, "e01", []message.RateDemand{{Upstream: 7, Limit: 2, PerSecond: 5, StatementAgeMs: 900}})
	Expect(reply[0].Limit).To(BeZero())
	Expect(reply[0].StatementAgeMs).To(BeEquivalentTo(100))
})
