package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// outcomeResponse is the response to a request for the outcome of an idempotency
// key.
type outcomeResponse struct {
	Key string `json:"key"`
	// State is the text of a model.KeyState: "running", "ran", "not_known" or
	// "unknown".
	State string `json:"state"`
	// Status is the HTTP status of the recorded answer, 0 if there is none.
	Status int `json:"status,omitempty"`
}

// outcome serves the outcome of an idempotency key. The outcome is the one on
// which a majority of the key's ledger group agrees.
func (a *API) outcome(c echo.Context) error {
	key, err := model.ParseKey(c.QueryParam("key"))
	if err != nil {
		return result.Errorf(result.MalformedKey, "%v", err)
	}
	effect, err := a.call(c, func(id event.CallID) event.Body {
		return event.OutcomeRequested{Call: id, Key: key}
	})
	if err != nil {
		return result.Errorf(result.ControlQueueFull, "%v", err)
	}
	reply, ok := effect.(event.OutcomeReply)
	if !ok {
		return result.Errorf(result.Internal, "unexpected effect %T", effect)
	}
	return c.JSON(http.StatusOK, outcomeResponse{Key: key.Text, State: reply.State.String(), Status: reply.Status})
}
