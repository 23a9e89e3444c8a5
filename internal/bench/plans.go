package bench

import (
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

const (
	// connectOverhead is the time that opening a connection takes beyond the
	// network round trip.
	connectOverhead = time.Millisecond
	// shortSigma and longSigma are the standard deviations of the logarithm of
	// the service times of short and long requests. The 99th percentile is about
	// 2.3 times the mean for short requests and 1.8 times the mean for long ones.
	shortSigma = 0.4
	longSigma  = 0.3
	// recordedEvents is the number of events that each instance keeps for replay.
	// It is enough to examine a failed invariant. It is less than the default,
	// since up to 11 instances share the memory of one process.
	recordedEvents = 20_000
	// baselineQueueFactor is the maximum length of the queue at an upstream with
	// a baseline policy, as a multiple of the number of slots of the upstream.
	baselineQueueFactor = 10

	// shortQueueLimit and longQueueLimit are the queue limits in the profiles of
	// short and long requests: the number of requests that may wait at one
	// instance. Each waiting request occupies two file descriptors, and this
	// process may open at most 20,000.
	shortQueueLimit = 100
	longQueueLimit  = 50

	// bytesPerMegabit converts a link rate from megabits to bytes per second.
	bytesPerMegabit = 1_000_000 / 8
)

// Names of the deployments that can be benchmarked.
const (
	DeploymentBell      = "bell"
	DeploymentTabsangam = "tabsangam"
)

// shortReadProfile returns the profile of short idempotent requests.
func shortReadProfile(timeout time.Duration) settings.Profile {
	return settings.Profile{Name: "short-read", Class: "short", Repeat: model.RetryIdempotent, MaxAttempts: 3,
		Deadline: settings.Duration(timeout), QueueLimit: shortQueueLimit, Spill: model.SpillAny}
}

// shortWriteProfile returns the profile of short non-idempotent requests, which are
// retried only if they were not executed.
func shortWriteProfile(timeout time.Duration) settings.Profile {
	return settings.Profile{Name: "short-write", Class: "short", Repeat: model.RetryIfNotRun, MaxAttempts: 3,
		Deadline: settings.Duration(timeout), QueueLimit: shortQueueLimit, Spill: model.SpillAny}
}

// longDownloadProfile returns the profile of long requests with large responses.
func longDownloadProfile(timeout time.Duration) settings.Profile {
	return settings.Profile{Name: "long-download", Class: "long", Repeat: model.RetryIfNotRun, MaxAttempts: 2,
		Deadline: settings.Duration(timeout), QueueLimit: longQueueLimit, Spill: model.SpillAny}
}

// Request timeouts of the profiles for short and long requests. Single service
// times can be several times the mean, so longTimeout is ten times the mean
// service time of long requests. It is not longer, because a run ends only when
// no request is in flight.
const (
	shortTimeout = 2 * time.Second
	longTimeout  = 10 * time.Second
)

// bellPlan returns the plan of the deployment of Bell Enquiries. It has six zones
// in three regions. One zone has one instance, the others have two each.
func bellPlan() deployment.Plan {
	return deployment.Plan{
		Zones: []deployment.Zone{
			{Name: "gulf-a", Region: "gulf", Instances: 2}, {Name: "gulf-b", Region: "gulf", Instances: 2},
			{Name: "plains-a", Region: "plains", Instances: 2}, {Name: "plains-b", Region: "plains", Instances: 2},
			{Name: "hill-a", Region: "hill-country", Instances: 2}, {Name: "hill-b", Region: "hill-country", Instances: 1},
		},
		Network: deployment.Network{
			ConnectDelay:       connectOverhead,
			InterZoneLatency:   1500 * time.Microsecond,
			InterRegionLatency: 55 * time.Millisecond,
			ClientLatency:      3 * time.Millisecond,
			LinkRate:           4000 * bytesPerMegabit,
		},
		Services: []deployment.Service{
			{
				Name: "catalogue", Profile: shortReadProfile(shortTimeout), Method: "GET", Upstreams: 20, Slots: 9, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: 40 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 4 << 10,
			},
			{
				Name: "deposits", Profile: shortWriteProfile(shortTimeout), Method: "POST", UsesIdempotencyKeys: true, Upstreams: 12, Slots: 8, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: 50 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 256,
			},
			{
				Name: "drawings", Profile: longDownloadProfile(longTimeout), Method: "GET", Upstreams: 12, Slots: 3, MaxConnections: 400,
				ServiceTime: fake.ServiceTime{Mean: time.Second, Sigma: longSigma}, ResponseBytes: 512 << 10,
			},
		},
	}
}

// tabsangamPlan returns the plan of the deployment of Tabsangam. It has six zones
// in three regions. Two zones have one instance each, the others have two each.
func tabsangamPlan() deployment.Plan {
	return deployment.Plan{
		Zones: []deployment.Zone{
			{Name: "thamel", Region: "bagmati", Instances: 2}, {Name: "patan", Region: "bagmati", Instances: 2},
			{Name: "lakeside", Region: "gandaki", Instances: 2}, {Name: "baidam", Region: "gandaki", Instances: 1},
			{Name: "butwal", Region: "lumbini", Instances: 2}, {Name: "bhairahawa", Region: "lumbini", Instances: 1},
		},
		Network: deployment.Network{
			ConnectDelay:       connectOverhead,
			InterZoneLatency:   time.Millisecond,
			InterRegionLatency: 12 * time.Millisecond,
			ClientLatency:      8 * time.Millisecond,
			LinkRate:           280 * bytesPerMegabit,
		},
		Services: []deployment.Service{
			{
				Name: "tabview", Profile: shortReadProfile(shortTimeout), Method: "GET", Upstreams: 20, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: 30 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 4 << 10,
			},
			{
				Name: "settlekhata", Profile: shortWriteProfile(shortTimeout), Method: "POST", UsesIdempotencyKeys: true, Upstreams: 12, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: 40 * time.Millisecond, Sigma: shortSigma}, ResponseBytes: 256,
			},
			{
				Name: "bahikhata-export", Profile: longDownloadProfile(longTimeout), Method: "GET", Upstreams: 12, Slots: 3, MaxConnections: 360,
				ServiceTime: fake.ServiceTime{Mean: time.Second, Sigma: longSigma}, ResponseBytes: 512 << 10,
			},
		},
	}
}

// plan returns the plan of the selected deployment, changed as the other options
// require.
func (o *Options) plan() deployment.Plan {
	plan := bellPlan()
	if o.Deployment == DeploymentTabsangam {
		plan = tabsangamPlan()
	}
	plan.Policy, plan.IgnoreSlots = policies[o.Policy], o.isBaseline()
	plan.RecordedEvents = recordedEvents
	for i := range plan.Services {
		service := &plan.Services[i]
		service.ServiceTime.Mean = time.Duration(float64(service.ServiceTime.Mean) * o.timeScale())
		service.UsesIdempotencyKeys = service.UsesIdempotencyKeys && !o.NoIdempotencyKeys
		if o.isBaseline() {
			service.QueueLimit = baselineQueueFactor * service.Slots
		}
	}
	return plan
}
