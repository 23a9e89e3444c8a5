package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// announceResponse is the response to an announcement of an upstream: whether
// this instance owns the upstream, how long the lease lasts, the time until the
// next announcement, and the instances to send the next announcement to.
type announceResponse struct {
	Owner          bool            `json:"owner"`
	LeaseMillis    int64           `json:"lease_ms"`
	IntervalMillis int64           `json:"interval_ms"`
	Instances      []view.Instance `json:"instances"`
}

// decodeAnnouncement decodes and validates an announcement.
func decodeAnnouncement(r io.Reader) (model.Announcement, error) {
	var a model.Announcement
	dec := json.NewDecoder(io.LimitReader(r, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, fmt.Errorf("decode announcement: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("data after the announcement")
	}
	return a, a.Validate()
}

// announce serves the announcements of upstreams.
func (a *API) announce(c echo.Context) error {
	announcement, err := decodeAnnouncement(c.Request().Body)
	if err != nil {
		return result.Errorf(result.MalformedAnnouncement, "%v", err)
	}
	effect, err := a.call(c, func(id event.CallID) event.Body {
		return event.UpstreamAnnounced{Call: id, Announcement: announcement}
	})
	if err != nil {
		return result.Errorf(result.ControlQueueFull, "%v", err)
	}
	reply, ok := effect.(event.AnnounceReply)
	if !ok {
		return result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	if reply.Code != result.Success {
		return &result.Error{Code: reply.Code}
	}
	if reply.Redirect != "" {
		return c.Redirect(http.StatusTemporaryRedirect, "http://"+reply.Redirect+"/v1/announce")
	}
	return c.JSON(http.StatusOK, announceResponse{
		Owner:          reply.Owner,
		LeaseMillis:    upstream.LeaseDuration.Milliseconds(),
		IntervalMillis: upstream.AnnounceInterval.Milliseconds(),
		Instances:      a.control.View().Instances,
	})
}
