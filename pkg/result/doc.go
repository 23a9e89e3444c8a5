// Package result defines the result codes that callers, upstreams and
// operators receive. docs/results.md is generated from Table; a test fails if
// the page is out of date.
package result
