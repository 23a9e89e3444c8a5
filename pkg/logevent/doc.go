// Package logevent defines the log events: their codes, names, levels and
// messages. docs/log-events.md is generated from Table; a test fails if the page
// is out of date.
package logevent
