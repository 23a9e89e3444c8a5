package proxy

import (
	"io"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// paceResponse waits until the bandwidth limit of the link from the upstream's
// region admits n bytes of the response.
func (a *attempt) paceResponse(n int) error {
	home, ok := a.proxy.configurePacer()
	if !ok {
		return nil
	}
	return a.proxy.pacer.Wait(a.ctx, a.dispatch.Region, home, a.dispatch.Class, n)
}

// configurePacer applies the current configuration to the pacer and returns the
// region of this instance. It returns false if there is no configuration yet.
func (p *Proxy) configurePacer() (model.Region, bool) {
	v := p.control.View()
	if v == nil || v.Config == nil {
		return "", false
	}
	p.pacer.Configure(v.Config, p.self)
	return v.Self.Region, true
}

// pacedBody returns a reader that reads a request body no faster than the
// bandwidth limit of the link to the upstream's region allows. A body for an
// upstream in the same region is not limited.
func (a *attempt) pacedBody(r io.Reader) io.Reader {
	home, ok := a.proxy.configurePacer()
	if !ok || home == a.dispatch.Region {
		return r
	}
	return &pacedReader{attempt: a, from: home, body: r}
}

// pacedReader reads a request body. Each read waits until the pacer admits the
// bytes that were read.
type pacedReader struct {
	attempt *attempt
	from    model.Region
	body    io.Reader
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b[:min(len(b), copyBufferBytes)])
	if n > 0 {
		a := r.attempt
		if paceErr := a.proxy.pacer.Wait(a.ctx, r.from, a.dispatch.Region, a.dispatch.Class, n); paceErr != nil {
			return 0, paceErr
		}
	}
	return n, err
}
