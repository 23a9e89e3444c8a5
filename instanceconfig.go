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

// loadInitialConfig reports the saved configuration and the bootstrap settings to
// the reducer, and adds the configuration writer to the run group.
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

// loadSavedConfig reports the saved configuration to the reducer. A corrupt file
// is logged and ignored: the instance then gets the configuration from its
// peers, like an instance without a disk.
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

// configObserver returns a function that is called with each published view. The
// function calls OnConfig if the view has a different configuration than the view
// before it. configObserver returns nil if OnConfig is not set.
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

// adminOptions returns the options of the administration API, which determine
// who may use it: the holders of tokens or, if none are configured, anyone on a
// loopback listener.
func adminOptions(s *settings.Settings, clock *control.Clock) api.AdminOptions {
	o := api.AdminOptions{AllowAnonymous: s.IsLoopback(), Now: clock.Now}
	for _, t := range s.Tokens {
		o.Tokens = append(o.Tokens, api.AdminToken{Name: t.Name, Token: t.Secret, Operator: t.Role == settings.RoleOperator})
	}
	return o
}
