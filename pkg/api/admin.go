package api

import (
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
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// maxChange is the largest body of a change in bytes.
	maxChange = 1 << 20
	// defaultHistory is the number of history entries without a limit.
	defaultHistory = 50
)

// AdminToken gives its holder a name and a role.
type AdminToken struct {
	Name     string
	Token    string
	Operator bool
}

// AdminOptions say who may use the administration API.
type AdminOptions struct {
	Tokens []AdminToken
	// Open allows everything without a token; only for loopback listeners.
	Open bool
	Now  func() model.Time
}

// EnableAdmin adds the administration API.
func (a *API) EnableAdmin(o AdminOptions) {
	h := &admin{api: a, options: o}
	g := a.echo.Group("/v1/admin")
	g.GET("/config", h.reader(h.config))
	g.GET("/profiles", h.reader(h.section(func(c *model.Config) (string, any) { return "profiles", c.Profiles })))
	g.GET("/services", h.reader(h.section(func(c *model.Config) (string, any) { return "services", c.Services })))
	g.GET("/shifts", h.reader(h.section(func(c *model.Config) (string, any) { return "shifts", c.Shifts })))
	g.GET("/drains", h.reader(h.section(func(c *model.Config) (string, any) { return "drains", c.Drains })))
	g.GET("/status", h.reader(h.status))
	g.GET("/members", h.reader(h.members))
	g.GET("/history", h.reader(h.history))
	g.POST("/changes", h.operator(h.change))
	g.POST("/dry-run", h.reader(h.dryRun))
}

type admin struct {
	api     *API
	options AdminOptions
}

type adminHandler func(c echo.Context, author string) error

func (h *admin) reader(f adminHandler) echo.HandlerFunc   { return h.authorized(false, f) }
func (h *admin) operator(f adminHandler) echo.HandlerFunc { return h.authorized(true, f) }

// authorized checks the token. The name of its holder is passed on as the
// author, "" if the API is open.
func (h *admin) authorized(operator bool, f adminHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		if len(h.options.Tokens) == 0 {
			if !h.options.Open {
				return result.Errorf(result.Unauthorized, "no tokens are configured and the listener is not a loopback one")
			}
			return f(c, "")
		}
		given, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		t := h.find(given)
		if t == nil || operator && !t.Operator {
			return &result.Error{Code: result.Unauthorized}
		}
		return f(c, t.Name)
	}
}

// find compares digests in constant time, so that the time of a refusal tells
// nothing about a token.
func (h *admin) find(given string) *AdminToken {
	var found *AdminToken
	sum := sha256.Sum256([]byte(given))
	for i := range h.options.Tokens {
		want := sha256.Sum256([]byte(h.options.Tokens[i].Token))
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
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

// section answers with one list of the configuration in force here.
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

// StatusAnswer is the answer to a status request.
type StatusAnswer struct {
	From      model.InstanceID   `json:"from"`
	Current   bool               `json:"current"`
	Leader    model.InstanceID   `json:"leader"`
	Term      uint64             `json:"term"`
	Version   model.Version      `json:"version"`
	Members   []model.InstanceID `json:"members"`
	Instances []InstanceAnswer   `json:"instances"`
}

// InstanceAnswer is the state of one instance.
type InstanceAnswer struct {
	ID        model.InstanceID `json:"id"`
	Zone      model.Zone       `json:"zone"`
	Version   model.Version    `json:"version"`
	InRoster  bool             `json:"in_roster"`
	Connected bool             `json:"connected"`
}

// ChangeAnswer is the result of a change or a dry run.
type ChangeAnswer struct {
	Code    result.Code     `json:"code"`
	Name    string          `json:"name"`
	Class   result.Class    `json:"class"`
	Message string          `json:"message"`
	Version model.Version   `json:"version,omitempty"`
	Winner  *change.Summary `json:"winner,omitempty"`
}

func (h *admin) status(c echo.Context, _ string) error {
	version, err := number(c, "version", 0)
	if err != nil {
		return err
	}
	wait, err := number(c, "wait_ms", 0)
	if err != nil {
		return err
	}
	s, err := h.askStatus(c, model.Version(version), time.Duration(min(wait, uint64(distribution.MaxStatusWait.Milliseconds())))*time.Millisecond)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, statusAnswer(s))
}

func (h *admin) members(c echo.Context, _ string) error {
	s, err := h.askStatus(c, 0, 0)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{
		"current": s.Current, "leader": s.Leader, "term": s.Term, "members": s.Members})
}

func (h *admin) askStatus(c echo.Context, version model.Version, wait time.Duration) (*message.Status, error) {
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
	if reply.Result.Code != result.Answered {
		return nil, &result.Error{Code: reply.Result.Code}
	}
	return &reply.Status, nil
}

func statusAnswer(s *message.Status) StatusAnswer {
	a := StatusAnswer{From: s.From, Current: s.Current, Leader: s.Leader, Term: s.Term, Version: s.Version, Members: s.Members}
	for _, i := range s.Instances {
		a.Instances = append(a.Instances, InstanceAnswer{i.Instance, i.Zone, i.Version, i.InRoster, i.Connected})
	}
	return a
}

func (h *admin) history(c echo.Context, _ string) error {
	limit, err := number(c, "limit", defaultHistory)
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
	if reply.Result.Code != result.Answered {
		return &result.Error{Code: reply.Result.Code}
	}
	return c.JSON(http.StatusOK, map[string]any{"entries": reply.Entries})
}

func (h *admin) change(c echo.Context, author string) error { return h.propose(c, author, false) }
func (h *admin) dryRun(c echo.Context, author string) error { return h.propose(c, author, true) }

// propose hands a change in. From the moment it is handed in, anything but an
// answer means that it may still be committed.
func (h *admin) propose(c echo.Context, author string, dryRun bool) error {
	x, err := h.decodeChange(c, author)
	if err != nil {
		return result.Errorf(result.MalformedChange, "%v", err)
	}
	effect, err := h.call(c, 0, func(id event.CallID) event.Body {
		return event.ChangeProposed{Call: id, Change: x, DryRun: dryRun}
	})
	if err != nil {
		code := result.ChangeUnknown
		if errors.Is(err, control.ErrQueueFull) {
			code = result.ControlQueueFull
		}
		return result.Errorf(code, "%v", err)
	}
	reply, ok := effect.(event.ChangeReply)
	if !ok {
		return result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	return writeChange(c, reply.Result)
}

func writeChange(c echo.Context, r change.Result) error {
	info := result.Lookup(r.Code)
	a := ChangeAnswer{Code: r.Code, Name: info.Name, Class: info.Class, Message: info.Message, Version: r.Version}
	if r.Detail != "" {
		a.Message += ": " + r.Detail
	}
	if r.Code == result.VersionConflict {
		a.Winner = &r.Winner
	}
	if r.Code != result.Answered {
		c.Response().Header().Set(proxy.HeaderCode, strconv.Itoa(int(r.Code)))
	}
	return c.JSON(info.Status, a)
}

// decodeChange reads a change strictly. The time is this instance's; the author
// is the holder of the token where there are tokens.
func (h *admin) decodeChange(c echo.Context, author string) (change.Change, error) {
	var x change.Change
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxChange))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&x); err != nil {
		return x, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return x, errors.New("data after the change")
	}
	switch {
	case x.Time != 0:
		return x, errors.New("time is set by the instance")
	case x.Operation.Kind == change.Bootstrap:
		return x, errors.New("operation bootstrap belongs to the settings")
	case author != "" && x.Author != "" && x.Author != author:
		return x, errors.New("author is not the holder of the token")
	case author != "":
		x.Author = author
	case x.Author == "":
		x.Author = "anonymous"
	}
	x.Time = h.options.Now()
	return x, x.Validate()
}

// call runs an event through the control goroutine, with room for the wait.
func (h *admin) call(c echo.Context, wait time.Duration, body func(event.CallID) event.Body) (event.Effect, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout+wait)
	defer cancel()
	return h.api.control.Call(ctx, body)
}

// number reads a query parameter.
func number(c echo.Context, name string, standard uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return standard, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, result.Errorf(result.MalformedRequest, "%s %q is not a number", name, text)
	}
	return n, nil
}
