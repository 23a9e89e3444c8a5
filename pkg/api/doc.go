// Package api is the HTTP front end for callers, upstreams and operators. It
// decodes requests, hands them to the control goroutine or answers them from the
// published view, and encodes the answers. It takes no decisions.
package api
