// Package report runs the deployment benchmark for a set of deployments,
// scenarios and policies. It writes the metrics as JSON and as one self-contained
// HTML page with charts.
package report
