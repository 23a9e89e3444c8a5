package api

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/distribution"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// maxChangeBytes is the largest request body of a change.
	maxChangeBytes = 1 << 20
	// defaultHistoryLimit is the number of history entries that are returned if the
	// request has no limit parameter.
	defaultHistoryLimit = 50
)

// AdminToken is an access token of the administration API.
type AdminToken struct {
	// Name is the author of changes made with the token.
	Name  string
	Token string
	// Operator is true if the token allows changes. Other tokens only allow
	// reading and dry runs.
	Operator bool
}

// AdminOptions are the settings of the administration API.
type AdminOptions struct {
	Tokens []AdminToken
	// AllowAnonymous allows all requests without a token if Tokens is empty. It must
	// be set only for listeners on loopback addresses.
	AllowAnonymous bool
	// Now returns the time that is recorded in changes.
	Now func() model.Time
}

// EnableAdmin adds the routes of the administration API.
func (a *API) EnableAdmin(o AdminOptions) {
	h := &admin{api: a, options: o}
	group := a.echo.Group("/v1/admin")
	group.GET("/config", h.requireReader(h.config))
	group.GET("/profiles", h.requireReader(h.section(func(c *model.Config) (string, any) { return "profiles", c.Profiles })))
	group.GET("/services", h.requireReader(h.section(func(c *model.Config) (string, any) { return "services", c.Services })))
	group.GET("/shifts", h.requireReader(h.section(func(c *model.Config) (string, any) { return "shifts", c.Shifts })))
	group.GET("/drains", h.requireReader(h.section(func(c *model.Config) (string, any) { return "drains", c.Drains })))
	group.GET("/status", h.requireReader(h.status))
	group.GET("/members", h.requireReader(h.members))
	group.GET("/history", h.requireReader(h.history))
	group.POST("/changes", h.requireOperator(h.change))
	group.POST("/dry-run", h.requireReader(h.dryRun))
}

// admin serves the administration API.
type admin struct {
	api     *API
	options AdminOptions
}

// adminHandler serves an authorized request. author is the name of its token,
// "" if no tokens are configured.
type adminHandler func(c echo.Context, author string) error

func (h *admin) requireReader(f adminHandler) echo.HandlerFunc   { return h.requireToken(false, f) }
func (h *admin) requireOperator(f adminHandler) echo.HandlerFunc { return h.requireToken(true, f) }

// requireToken returns a handler that checks the token of the request and then
// calls f with the token's name as the author. If operator is true, only tokens
// that allow changes are accepted.
func (h *admin) requireToken(operator bool, f adminHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		if len(h.options.Tokens) == 0 {
			if !h.options.AllowAnonymous {
				return result.Errorf(result.Unauthorized, "no tokens are configured and the listener is not a loopback one")
			}
			return f(c, "")
		}
		presented, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		token := h.findToken(presented)
		if token == nil || operator && !token.Operator {
			return &result.Error{Code: result.Unauthorized}
		}
		return f(c, token.Name)
	}
}

// findToken returns the configured token that equals the presented one, or nil. It
// compares digests in constant time, so that the response time reveals nothing
// about the tokens.
func (h *admin) findToken(presented string) *AdminToken {
	var found *AdminToken
	digest := sha256.Sum256([]byte(presented))
	for i := range h.options.Tokens {
		known := sha256.Sum256([]byte(h.options.Tokens[i].Token))
		if subtle.ConstantTimeCompare(digest[:], known[:]) == 1 {
			found = &h.options.Tokens[i]
		}
	}
	return found
}

func (h *admin) config(c echo.Context, _ string) error {
	v := h.api.control.View()
	if v.Config == nil {
		return &result.Error{Code: result.NoConfiguration}
	}
	return c.JSON(http.StatusOK, v.Config)
}

// section returns a handler that responds with one list of the configuration in
// force on this instance. get returns the JSON key of the list and the list.
func (h *admin) section(get func(*model.Config) (string, any)) adminHandler {
	return func(c echo.Context, _ string) error {
		v := h.api.control.View()
		if v.Config == nil {
			return &result.Error{Code: result.NoConfiguration}
		}
		name, list := get(v.Config)
		return c.JSON(http.StatusOK, map[string]any{"version": v.Config.Version, name: list})
	}
}

// StatusResponse is the response to a status request.
type StatusResponse struct {
	From      model.InstanceID   `json:"from"`
	Current   bool               `json:"current"`
	Leader    model.InstanceID   `json:"leader"`
	Term      uint64             `json:"term"`
	Version   model.Version      `json:"version"`
	Members   []model.InstanceID `json:"members"`
	Instances []InstanceStatus   `json:"instances"`
}

// InstanceStatus is the state of one instance in a StatusResponse.
type InstanceStatus struct {
	ID        model.InstanceID `json:"id"`
	Zone      model.Zone       `json:"zone"`
	Version   model.Version    `json:"version"`
	InRoster  bool             `json:"in_roster"`
	Connected bool             `json:"connected"`
}

// ChangeResponse is the response to a change or a dry run. After a version
// conflict, Winner is the change that replaced the expected version. If the
// history no longer contains that change, Winner is the latest change.
type ChangeResponse struct {
	Code    result.Code     `json:"code"`
	Name    string          `json:"name"`
	Class   result.Class    `json:"class"`
	Message string          `json:"message"`
	Version model.Version   `json:"version,omitempty"`
	Winner  *change.Summary `json:"winner,omitempty"`
}

func (h *admin) status(c echo.Context, _ string) error {
	version, err := uintParam(c, "version", 0)
	if err != nil {
		return err
	}
	wait, err := uintParam(c, "wait_ms", 0)
	if err != nil {
		return err
	}
	s, err := h.requestStatus(c, model.Version(version), time.Duration(min(wait, uint64(distribution.MaxStatusWait.Milliseconds())))*time.Millisecond)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, statusResponse(s))
}

func (h *admin) members(c echo.Context, _ string) error {
	s, err := h.requestStatus(c, 0, 0)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{
		"current": s.Current, "leader": s.Leader, "term": s.Term, "members": s.Members})
}

func (h *admin) requestStatus(c echo.Context, version model.Version, wait time.Duration) (*message.Status, error) {
	effect, err := h.call(c, wait, func(id event.CallID) event.Body {
		return event.StatusRequested{Call: id, Version: version, Wait: wait}
	})
	if err != nil {
		return nil, result.Errorf(result.ControlQueueFull, "%v", err)
	}
	reply, ok := effect.(event.StatusReply)
	if !ok {
		return nil, result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	if reply.Result.Code != result.Success {
		return nil, &result.Error{Code: reply.Result.Code}
	}
	return &reply.Status, nil
}

func statusResponse(s *message.Status) StatusResponse {
	response := StatusResponse{From: s.From, Current: s.Current, Leader: s.Leader, Term: s.Term, Version: s.Version, Members: s.Members}
	for _, instance := range s.Instances {
		response.Instances = append(response.Instances, InstanceStatus{instance.Instance, instance.Zone, instance.Version, instance.InRoster, instance.Connected})
	}
	return response
}

func (h *admin) history(c echo.Context, _ string) error {
	limit, err := uintParam(c, "limit", defaultHistoryLimit)
	if err != nil {
		return err
	}
	effect, err := h.call(c, 0, func(id event.CallID) event.Body {
		return event.HistoryRequested{Call: id, Limit: int(min(limit, distribution.MaxHistory))}
	})
	if err != nil {
		return result.Errorf(result.ControlQueueFull, "%v", err)
	}
	reply, ok := effect.(event.HistoryReply)
	if !ok {
		return result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	if reply.Result.Code != result.Success {
		return &result.Error{Code: reply.Result.Code}
	}
	return c.JSON(http.StatusOK, map[string]any{"entries": reply.Entries})
}

func (h *admin) change(c echo.Context, author string) error { return h.proposeChange(c, author, false) }
func (h *admin) dryRun(c echo.Context, author string) error { return h.proposeChange(c, author, true) }

// proposeChange submits a change to the control goroutine. If the change was
// submitted but no reply arrives, the change may still be committed. The
// response then has the code result.ChangeUnknown.
func (h *admin) proposeChange(c echo.Context, author string, dryRun bool) error {
	proposed, err := h.decodeChange(c, author)
	if err != nil {
		return codedError(result.MalformedChange, err)
	}
	effect, err := h.call(c, 0, func(id event.CallID) event.Body {
		return event.ChangeProposed{Call: id, Change: proposed, DryRun: dryRun}
	})
	if err != nil {
		code := result.ChangeUnknown
		switch {
		case errors.Is(err, control.ErrQueueFull):
			code = result.ControlQueueFull
		case errors.Is(err, control.ErrNotSubmitted):
			code = result.Stopping
		}
		return result.Errorf(code, "%v", err)
	}
	reply, ok := effect.(event.ChangeReply)
	if !ok {
		return result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	return writeChangeResponse(c, reply.Result)
}

func writeChangeResponse(c echo.Context, r change.Result) error {
	info := result.Lookup(r.Code)
	response := ChangeResponse{Code: r.Code, Name: info.Name, Class: info.Class, Message: info.Message, Version: r.Version}
	if r.Detail != "" {
		response.Message += ": " + r.Detail
	}
	if r.Code == result.VersionConflict {
		response.Winner = &r.Winner
	}
	if r.Code != result.Success {
		c.Response().Header().Set(proxy.HeaderCode, strconv.Itoa(int(r.Code)))
	}
	return c.JSON(info.Status, response)
}

// decodeChange decodes a change, and rejects unknown fields and trailing data.
// It sets the time of the change by the clock of this instance. If tokens are
// configured, it sets the author to the name of the token.
func (h *admin) decodeChange(c echo.Context, author string) (change.Change, error) {
	var decoded change.Change
	body, err := inbound.ReadBody(c.Request(), maxChangeBytes)
	if err != nil {
		return decoded, err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&decoded); err != nil {
		return decoded, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return decoded, errors.New("data after the change")
	}
	switch {
	case decoded.Time != 0:
		return decoded, errors.New("time is set by the instance")
	case decoded.Operation.Kind == change.Bootstrap:
		return decoded, errors.New("operation bootstrap belongs to the settings")
	case author != "" && decoded.Author != "" && decoded.Author != author:
		return decoded, errors.New("author is not the holder of the token")
	case author != "":
		decoded.Author = author
	case decoded.Author == "":
		decoded.Author = "anonymous"
	}
	decoded.Time = h.options.Now()
	return decoded, decoded.Validate()
}

// call calls the control goroutine and returns the reply. wait is how long the
// control goroutine may delay the reply; it is added to callTimeout.
func (h *admin) call(c echo.Context, wait time.Duration, body func(event.CallID) event.Body) (event.Effect, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout+wait)
	defer cancel()
	return h.api.control.Call(ctx, body)
}

// uintParam returns a numeric query parameter, or defaultValue if it is absent.
func uintParam(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, result.Errorf(result.MalformedRequest, "%s %q is not a number", name, text)
	}
	return n, nil
}
