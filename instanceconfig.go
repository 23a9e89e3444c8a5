package anvilcrank

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/oklog/run"

	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// loadConfig hands in the saved configuration and the bootstrap settings, and
// adds the writer of configurations to the group.
func (i *Instance) loadInitialConfig(ctx context.Context, g *run.Group) error {
	if i.configWriter != nil {
		if err := i.loadSavedConfig(); err != nil {
			return err
		}
		writerContext, cancel := context.WithCancel(ctx)
		g.Add(func() error { return i.configWriter.Run(writerContext) }, func(error) { cancel() })
	}
	if b := i.settings.Bootstrap; b != nil {
		i.loop.Report(event.BootstrapOffered{Config: b.Config(), SingleInstance: len(i.settings.Peers) == 0})
	}
	return nil
}

// loadSaved hands in the saved configuration. A damaged file is reported and
// not used: the peers are asked as if there were no disk.
func (i *Instance) loadSavedConfig() error {
	if err := os.MkdirAll(i.settings.Data, 0o700); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	saved, err := storage.LoadConfig(i.settings.Data)
	if errors.Is(err, storage.ErrConfigCorrupt) {
		i.telemetry.Log(event.Log{Code: logevent.ConfigFileBroken, Fields: []logevent.Field{logevent.F("error", err.Error())}})
		return nil
	}
	if err != nil {
		return err
	}
	if saved != nil {
		i.loop.Report(event.ConfigLoaded{Config: *saved})
	}
	return nil
}

// configObserver returns a function that passes each other configuration to
// OnConfig, or nil if nobody observes.
func (i *Instance) configObserver() func(*view.View) {
	if i.options.OnConfig == nil {
		return nil
	}
	var last *model.Config
	return func(v *view.View) {
		if v.Config != nil && v.Config != last {
			last = v.Config
			i.options.OnConfig(last)
		}
	}
}

// adminOptions says who may use the administration API.
func adminOptions(s *settings.Settings, clock *control.Clock) api.AdminOptions {
	o := api.AdminOptions{AllowAnonymous: s.IsLoopback(), Now: clock.Now}
	for _, t := range s.Tokens {
		o.Tokens = append(o.Tokens, api.AdminToken{Name: t.Name, Token: t.Secret, Operator: t.Role == settings.RoleOperator})
	}
	return o
}
