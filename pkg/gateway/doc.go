// Package gateway is the HTTP/1.1 proxy for routed requests. It reads the
// requests of callers and sends them, over pooled connections, to the upstreams
// that the control goroutine chooses. It matches each response to its request.
// Then it sends the caller the response, or the rejection that the control
// goroutine has decided on. The names of the protocol's headers are parameters
// of New.
package gateway
