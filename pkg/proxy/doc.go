// Package proxy is the HTTP reverse proxy between callers and upstreams. It reads
// requests, submits an event for each of them to the control goroutine, and
// executes the effects that the control goroutine returns: it dispatches attempts
// to upstreams, relays responses, cancels attempts and finishes requests. Bodies
// are not passed to the control goroutine.
package proxy
