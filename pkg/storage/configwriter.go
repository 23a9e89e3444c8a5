package storage

import (
	"context"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// ConfigWriter saves configurations on a goroutine of its own, since a sync may
// take long.
type ConfigWriter struct {
	dir    string
	report func(event.Body)
	// queue holds the one save that the reducer has outstanding.
	queue chan event.SaveConfig
}

// NewConfigWriter returns a writer for the folder that reports results.
func NewConfigWriter(dir string, report func(event.Body)) *ConfigWriter {
	return &ConfigWriter{dir: dir, report: report, queue: make(chan event.SaveConfig, 1)}
}

// Save queues a configuration. The reducer must not ask for another one before
// the ConfigSaved event.
func (w *ConfigWriter) Save(effect event.SaveConfig) { w.queue <- effect }

// Run saves what is queued until the context ends.
func (w *ConfigWriter) Run(ctx context.Context) error {
	for {
		select {
		case effect := <-w.queue:
			outcome := event.ConfigSaved{Version: effect.Config.Version}
			if err := SaveConfig(w.dir, &effect.Config); err != nil {
				outcome.Error = err.Error()
			}
			w.report(outcome)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
