package anvilcrank

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

// serveHTTP serves on the listener until the server is shut down, and then
// returns nil. If serving fails for any other reason, it logs and returns the
// error.
func serveHTTP(t *telemetry.Telemetry, srv *http.Server, l net.Listener) error {
	err := srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	t.Log(event.Log{Code: logevent.ListenerFailed, Fields: []logevent.Field{logevent.F("error", err.Error())}})
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}

// shutDownServer waits up to the timeout for open requests to end, and then
// closes all connections.
func shutDownServer(srv *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
