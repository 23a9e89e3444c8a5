package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
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
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, fmt.Errorf("decode announcement: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("data after the announcement")
	}
	return a, a.Validate()
}

// readAnnouncement reads the body of a request as an announcement.
func readAnnouncement(r *http.Request) (model.Announcement, error) {
	body, err := inbound.ReadBody(r, maxAnnouncementBytes)
	if err != nil {
		return model.Announcement{}, err
	}
	return decodeAnnouncement(bytes.NewReader(body))
}

// codedError returns the error itself if it has a result code, otherwise an error with the given
// code.
func codedError(code result.Code, err error) error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	return result.Errorf(code, "%v", err)
}

// announce serves the announcements of upstreams.
func (a *API) announce(c echo.Context) error {
	announcement, err := readAnnouncement(c.Request())
	if err != nil {
		return codedError(result.MalformedAnnouncement, err)
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
