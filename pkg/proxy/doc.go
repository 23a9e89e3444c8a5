// Package proxy is the streaming path from callers to upstreams. It reads
// requests, hands their descriptions to the control goroutine, and carries out
// the effects it gets back: dispatch, relay, cancel, finish. Bodies stay here.
package proxy
