// Package api is the HTTP API for callers, upstreams and operators. It decodes
// requests, calls the control goroutine or reads the published view, and encodes
// the responses. All decisions are made by the control goroutine.
package api
