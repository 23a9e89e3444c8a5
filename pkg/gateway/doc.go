// Package gateway is the HTTP/1.1 proxy for routed requests. It reads the requests
// of callers, sends them to the upstreams that the control goroutine chooses over
// pooled connections, matches each response to its request, and sends callers the
// response or the rejection that the control goroutine decides on. The front end
// that uses the package sets the names of the protocol's headers.
package gateway
