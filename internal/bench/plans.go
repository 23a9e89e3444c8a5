package bench

import (
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

const (
	// connectCost is what a new connection costs besides its round trip.
	connectCost = time.Millisecond
	// shortSigma and longSigma spread service times: the 99th percentile is at
	// about 2.3 and 1.8 times the mean.
	shortSigma = 0.4
	longSigma  = 0.3
	// recordEvents keeps enough for a look at a failed invariant without the
	// memory that 11 full rings take.
	recordEvents = 20_000
	// baselineQueue is the length of the queue at an upstream as a multiple of
	// its slots, for policies that bind work at once.
	baselineQueue = 10

	// shortQueue and longQueue bound the requests that wait at one instance. Each
	// takes two descriptors of this process, which may have 20,000.
	shortQueue = 100
	longQueue  = 50

	mbit = 1_000_000 / 8
)

// Names of the deployments.
const (
	Bell      = "bell"
	Tabsangam = "tabsangam"
)

func shortRead(deadline time.Duration) settings.Profile {
	return settings.Profile{Name: "short-read", Class: "short", Repeat: model.RetryIdempotent, MaxAttempts: 3,
		Deadline: settings.Duration(deadline), QueueLimit: shortQueue, Spill: model.SpillAny}
}

func shortWrite(deadline time.Duration) settings.Profile {
	return settings.Profile{Name: "short-write", Class: "short", Repeat: model.RetryIfNotRun, MaxAttempts: 3,
		Deadline: settings.Duration(deadline), QueueLimit: shortQueue, Spill: model.SpillAny}
}

func longDownload(deadline time.Duration) settings.Profile {
	return settings.Profile{Name: "long-download", Class: "long", Repeat: model.RetryIfNotRun, MaxAttempts: 2,
		Deadline: settings.Duration(deadline), QueueLimit: longQueue, Spill: model.SpillAny}
}

// Deadlines of the profiles. Long work takes many times its mean at most, and a
// run has to wait for it at the end.
const (
	shortDeadline = 2 * time.Second
	longDeadline  = 10 * time.Second
)

// bell is the deployment of Bell Enquiries. One zone has one instance.
func bell() deployment.Plan {
	return deployment.Plan{
		Zones: []deployment.Zone{
			{Name: "gulf-a", Region: "gulf", Instances: 2}, {Name: "gulf-b", Region: "gulf", Instances: 2},
			{Name: "plains-a", Region: "plains", Instances: 2}, {Name: "plains-b", Region: "plains", Instances: 2},
			{Name: "hill-a", Region: "hill-country", Instances: 2}, {Name: "hill-b", Region: "hill-country", Instances: 1},
		},
		Network: deployment.Network{
			ConnectDelay:       connectCost,
			InterZoneLatency:   1500 * time.Microsecond,
			InterRegionLatency: 55 * time.Millisecond,
			ClientLatency:      3 * time.Millisecond,
			LinkRate:           4000 * mbit,
		},
		Services: []deployment.Service{
			{
				Name: "catalogue", Profile: shortRead(shortDeadline), Method: "GET", Upstreams: 20, Slots: 9, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: 40 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 4 << 10,
			},
			{
				Name: "deposits", Profile: shortWrite(shortDeadline), Method: "POST", UsesIdempotencyKeys: true, Upstreams: 12, Slots: 8, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: 50 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 256,
			},
			{
				Name: "drawings", Profile: longDownload(longDeadline), Method: "GET", Upstreams: 12, Slots: 3, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: time.Second, Sigma: longSigma}, ResponseBytes: 512 << 10,
			},
		},
	}
}

// tabsangam is the deployment of Tabsangam. Two zones have one instance.
func tabsangam() deployment.Plan {
	return deployment.Plan{
		Zones: []deployment.Zone{
			{Name: "thamel", Region: "bagmati", Instances: 2}, {Name: "patan", Region: "bagmati", Instances: 2},
			{Name: "lakeside", Region: "gandaki", Instances: 2}, {Name: "baidam", Region: "gandaki", Instances: 1},
			{Name: "butwal", Region: "lumbini", Instances: 2}, {Name: "bhairahawa", Region: "lumbini", Instances: 1},
		},
		Network: deployment.Network{
			ConnectDelay:       connectCost,
			InterZoneLatency:   time.Millisecond,
			InterRegionLatency: 12 * time.Millisecond,
			ClientLatency:      8 * time.Millisecond,
			LinkRate:           280 * mbit,
		},
		Services: []deployment.Service{
			{
				Name: "tabview", Profile: shortRead(shortDeadline), Method: "GET", Upstreams: 20, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: 30 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 4 << 10,
			},
			{
				Name: "settlekhata", Profile: shortWrite(shortDeadline), Method: "POST", UsesIdempotencyKeys: true, Upstreams: 12, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: 40 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 256,
			},
			{
				Name: "bahikhata-export", Profile: longDownload(longDeadline), Method: "GET", Upstreams: 12, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: time.Second, Sigma: longSigma}, ResponseBytes: 512 << 10,
			},
		},
	}
}

// plan returns the deployment that the options ask for.
func (o *Options) plan() deployment.Plan {
	p := bell()
	if o.Name == Tabsangam {
		p = tabsangam()
	}
	p.Policy, p.BindEarly = policies[o.Policy], o.isBaseline()
	p.RecordEvents = recordEvents
	for i := range p.Services {
		s := &p.Services[i]
		s.ServiceTime.Mean = time.Duration(float64(s.ServiceTime.Mean) * o.timeScale())
		s.UsesIdempotencyKeys = s.UsesIdempotencyKeys && !o.NoKeys
		if o.isBaseline() {
			s.QueueLimit = baselineQueue * s.Slots
		}
	}
	return p
}
