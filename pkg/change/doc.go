// Package change is the state machine of configuration changes. Committed log
// entries are applied to it in log order at every member of the control group;
// equal entries give equal results everywhere. It decides which of two racing
// changes wins, remembers the results of recent change identifiers, and keeps
// the history. It knows no encoding.
package change
