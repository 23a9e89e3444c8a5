// Package change is the state machine of configuration changes. Every member of
// the control group applies the committed log entries to it in log order; equal
// entries give equal results at every member. It decides which of two
// concurrent changes takes effect, remembers the results of recent change
// identifiers, and keeps the history. It does not depend on any encoding.
package change
