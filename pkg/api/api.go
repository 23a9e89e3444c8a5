package api

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

const (
	// maxAnnouncement is the largest announcement in bytes.
	maxAnnouncementBytes = 16 << 10
	// callTimeout bounds the wait for the control goroutine.
	callTimeout = 5 * time.Second
	// MaxHeaderBytes is the largest request header that is accepted.
	MaxHeaderBytes = 64 << 10
	// readHeaderTimeout ends connections that send their header too slowly.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers.
	idleTimeout = 2 * time.Minute
)

// Control is what the API needs of the control goroutine.
type Control interface {
	View() *view.View
	Call(ctx context.Context, body func(event.CallID) event.Body) (event.Effect, error)
}

// API serves callers, upstreams and operators.
type API struct {
	control   Control
	proxy     *proxy.Proxy
	telemetry *telemetry.Telemetry
	echo      *echo.Echo
}

// New returns the HTTP front end.
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
	return a
}

// Server returns an HTTP server with the limits that the API needs.
func (a *API) Server() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ServicePath begins the path of requests for services.
const ServicePath = "/s/"

// ServeHTTP implements http.Handler. Requests for services go to the proxy with
// their path as the caller wrote it, since a router would clean it.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), ServicePath)
	if !ok {
		a.echo.ServeHTTP(w, r)
		return
	}
	service, path, _ := strings.Cut(rest, "/")
	a.proxy.Serve(w, r, model.ServiceName(service), "/"+path)
}

// lookup answers from the published view, outside the control goroutine.
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

// health tells whether this instance takes new callers.
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

func (a *API) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	a.telemetry.WriteMetrics(c.Response())
	return nil
}

// call runs an event through the control goroutine.
func (a *API) call(c echo.Context, body func(event.CallID) event.Body) (event.Effect, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	return a.control.Call(ctx, body)
}

// handleError turns errors into answers with a numbered code.
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
