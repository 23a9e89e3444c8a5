// Package change is the state machine of configuration changes. Every member of
// the control group applies the committed log entries to it in log order. Equal
// entries have equal results at every member. The state machine decides which
// of two concurrent changes is accepted, records the results of recent changes,
// and keeps the history. It does not depend on any encoding.
package change
