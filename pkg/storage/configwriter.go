package storage

import (
	"context"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// ConfigWriter saves configurations on a separate goroutine, since a sync may
// take long and must not block the reducer.
type ConfigWriter struct {
	dir    string
	report func(event.Body)
	// queue holds at most one save: the reducer requests a save only after it has
	// received the result of the previous one.
	queue chan event.SaveConfig
}

// NewConfigWriter returns a writer that saves to the folder dir and reports each
// result as a ConfigSaved event.
func NewConfigWriter(dir string, report func(event.Body)) *ConfigWriter {
	return &ConfigWriter{dir: dir, report: report, queue: make(chan event.SaveConfig, 1)}
}

// Save queues a configuration. The reducer must not request another save before
// it has received the ConfigSaved event.
func (w *ConfigWriter) Save(effect event.SaveConfig) { w.queue <- effect }

// Run saves queued configurations until the context ends.
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
