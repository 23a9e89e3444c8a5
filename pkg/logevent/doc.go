// Package logevent defines the numbered log events. docs/log-events.md is
// generated from Table; a test fails if the page is out of date.
package logevent
