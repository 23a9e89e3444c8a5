package demo

import (
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// upstreamsPerZone is the number of upstreams of each service in each zone.
const upstreamsPerZone = 2

// serviceTimeSigma is the standard deviation of the logarithm of the service times
// of each service.
const serviceTimeSigma = 0.3

var zones = []deployment.Zone{
	{Name: "gulf-a", Region: "gulf", Instances: 2},
	{Name: "gulf-b", Region: "gulf", Instances: 2},
	{Name: "plains-a", Region: "plains", Instances: 2},
}

// plan returns the plan of the demo deployment.
func plan(seed uint64) deployment.Plan {
	p := deployment.Plan{
		Zones:          zones,
		RecordedEvents: settings.DefaultRecordedEvents,
		Seed:           seed,
		Services: []deployment.Service{
			{
				Name: "catalogue", Method: "GET", Slots: 9,
				ServiceTime: fake.ServiceTime{Mean: 8 * time.Millisecond}, ResponseBytes: 4 << 10,
				Profile: settings.Profile{Name: "retry-freely", Class: "short", Repeat: model.RetryIdempotent, MaxAttempts: 3,
					Deadline: settings.Duration(3 * time.Second), QueueLimit: 500, Spill: model.SpillRegion},
			},
			{
				Name: "deposits", Method: "POST", Slots: 8,
				ServiceTime: fake.ServiceTime{Mean: 12 * time.Millisecond}, ResponseBytes: 256,
				Profile: settings.Profile{Name: "never-repeat", Class: "short", Repeat: model.RetryIfNotRun, MaxAttempts: 3,
					Deadline: settings.Duration(3 * time.Second), QueueLimit: 500, Spill: model.SpillAny},
			},
			{
				Name: "drawings", Method: "GET", Slots: 3,
				ServiceTime: fake.ServiceTime{Mean: 600 * time.Millisecond}, ResponseBytes: 512 << 10,
				Profile: settings.Profile{Name: "long-download", Class: "long", Repeat: model.RetryIfNotRun, MaxAttempts: 2,
					Deadline: settings.Duration(20 * time.Second), QueueLimit: 200, Spill: model.SpillAny},
			},
		},
	}
	for i := range p.Services {
		s := &p.Services[i]
		s.Upstreams = upstreamsPerZone * len(zones)
		s.MaxConnections = 400
		s.ServiceTime.Sigma = serviceTimeSigma
	}
	return p
}
