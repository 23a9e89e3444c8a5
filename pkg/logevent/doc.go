// Package logevent defines the numbered log events. docs/log-events.md is their
// catalogue; a test compares the two.
package logevent
