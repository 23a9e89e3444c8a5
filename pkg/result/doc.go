// Package result defines the numbered result codes that callers, upstreams and
// operators see. docs/results.md lists them; a test compares the two.
package result
