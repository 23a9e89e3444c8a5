package api

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

const (
	// maxAnnouncementBytes is the largest request body of an announcement.
	maxAnnouncementBytes = 16 << 10
	// callTimeout is how long an API request waits for the reply of the control
	// goroutine.
	callTimeout = 5 * time.Second
	// MaxHeaderBytes is the largest request header that is accepted.
	MaxHeaderBytes = 64 << 10
	// readHeaderTimeout is how long a client may take to send the request
	// header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle client connection is kept open.
	idleTimeout = 2 * time.Minute
)

// Control lists the methods of control.Loop that the API uses. control.Loop
// runs the control goroutine.
type Control interface {
	View() *view.View
	Call(ctx context.Context, body func(event.CallID) event.Body) (event.Effect, error)
}

// API is the HTTP handler for callers, upstreams and operators.
type API struct {
	control   Control
	proxy     *proxy.Proxy
	telemetry *telemetry.Telemetry
	echo      *echo.Echo
	// calls serves all requests but those for services.
	calls http.Handler
}

// New returns an API without the administration API, which EnableAdmin adds.
func New(control Control, p *proxy.Proxy, t *telemetry.Telemetry) *API {
	a := &API{control: control, proxy: p, telemetry: t, echo: echo.New()}
	a.echo.HideBanner = true
	a.echo.HidePort = true
	a.echo.HTTPErrorHandler = handleError
	a.echo.GET("/v1/lookup", a.lookup)
	a.echo.POST("/v1/announce", a.announce)
	a.echo.GET("/v1/outcome", a.outcome)
	a.echo.GET("/v1/health", a.health)
	a.echo.GET("/metrics", a.metrics)
	a.calls = a.echo
	return a
}

// LimitMemory counts what calls hold in the budget. It must be called before the API serves.
func (a *API) LimitMemory(budget *memory.Budget) {
	a.calls = inbound.Admit(budget, a.echo, proxy.WriteMemoryFull)
}

// Server returns an HTTP server for the API, with limits on headers and idle
// connections.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ServicePath is the prefix of the path of requests to services.
const ServicePath = "/s/"

// ServeHTTP implements http.Handler. It passes requests for services to the
// proxy directly, with the escaped path that the caller sent, since the router
// would normalize the path.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), ServicePath)
	if !ok {
		a.calls.ServeHTTP(w, r)
		return
	}
	service, path, _ := strings.Cut(rest, "/")
	a.proxy.Serve(w, r, model.ServiceName(service), "/"+path)
}

// lookup serves lookups of the instances to use for a service. It reads only
// the published view and makes no call to the control goroutine.
func (a *API) lookup(c echo.Context) error {
	v := a.control.View()
	if v.Config == nil {
		return &result.Error{Code: result.NoConfiguration}
	}
	service := model.ServiceName(c.QueryParam("service"))
	client := c.QueryParam("client")
	if client == "" {
		client = c.Request().RemoteAddr
	}
	answer := v.Lookup(service, model.Zone(c.QueryParam("zone")), client)
	if answer == nil {
		return result.Errorf(result.UnknownService, "%q", service)
	}
	return c.JSON(http.StatusOK, answer)
}

// health reports whether this instance accepts new callers.
func (a *API) health(c echo.Context) error {
	v := a.control.View()
	if v.Config == nil {
		return &result.Error{Code: result.NoConfiguration}
	}
	if v.Stopping {
		return &result.Error{Code: result.Stopping}
	}
	return c.JSON(http.StatusOK, map[string]any{"instance": v.Self.ID, "version": v.Config.Version})
}

// metrics serves the metrics in the Prometheus text format.
func (a *API) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	var body bytes.Buffer
	a.telemetry.WriteMetrics(&body)
	if !inbound.HoldingOf(c.Request()).Grow(body.Cap(), memory.Requests) {
		return &result.Error{Code: result.MemoryFull}
	}
	_, err := c.Response().Write(body.Bytes())
	return err
}

// call passes the event that body returns to the control goroutine and returns
// the reply.
func (a *API) call(c echo.Context, body func(event.CallID) event.Body) (event.Effect, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	return a.control.Call(ctx, body)
}

// handleError sends an error response with the result code of the error.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var coded *result.Error
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &coded):
	case errors.As(err, &httpErr) && (httpErr.Code == http.StatusNotFound || httpErr.Code == http.StatusMethodNotAllowed):
		coded = result.Errorf(result.NotFound, "%s %s", c.Request().Method, c.Request().URL.Path)
	case errors.As(err, &httpErr):
		coded = result.Errorf(result.MalformedRequest, "%v", httpErr.Message)
	default:
		coded = result.Errorf(result.Internal, "%v", err)
	}
	proxy.WriteError(c.Response(), coded)
}
