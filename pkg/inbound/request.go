package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// holdingKey is the key of the holding in the context of a request.
type holdingKey struct{}

// Admit returns a handler that serves a request only if the budget has room for it. reject
// responds to the others, and closes their connections.
func Admit(budget *memory.Budget, next http.Handler, reject func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, ok := budget.Admit()
		if !ok {
			reject(w)
			return
		}
		held.Attribute(Account(r.Context()))
		defer held.Release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holdingKey{}, &held)))
	})
}

// HoldingOf returns what an admitted request holds. For any other request it returns a holding
// without a limit.
func HoldingOf(r *http.Request) *memory.Holding {
	if held, ok := r.Context().Value(holdingKey{}).(*memory.Holding); ok {
		return held
	}
	return &memory.Holding{}
}

// ReadBody reads the whole body of an admitted request, up to limit bytes. The error has the
// code BodyTooLarge or MemoryFull, or it is that of the body.
func ReadBody(r *http.Request, limit int) ([]byte, error) {
	body, err := HoldingOf(r).ReadUpTo(r.Body, memory.Requests, limit, r.ContentLength)
	switch {
	case errors.Is(err, io.ErrShortBuffer):
		return nil, &result.Error{Code: result.BodyTooLarge}
	case errors.Is(err, memory.ErrExhausted):
		return nil, &result.Error{Code: result.MemoryFull}
	}
	return body, err
}
