package fake

import "net/http"

// SlowCaller is a caller that reads nothing of its response until Released is closed. It
// implements http.ResponseWriter.
type SlowCaller struct {
	Released <-chan struct{}
	// Status and Bytes are the status and the size of the body that it received.
	Status, Bytes int

	header http.Header
}

// Header implements http.ResponseWriter.
func (c *SlowCaller) Header() http.Header {
	if c.header == nil {
		c.header = http.Header{}
	}
	return c.header
}

// WriteHeader implements http.ResponseWriter.
func (c *SlowCaller) WriteHeader(status int) { c.Status = status }

// Write implements http.ResponseWriter.
func (c *SlowCaller) Write(p []byte) (int, error) {
	<-c.Released
	c.Bytes += len(p)
	return len(p), nil
}
