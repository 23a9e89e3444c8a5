// Package report runs the deployment benchmark for a set of deployments,
// scenarios and policies, and writes the figures as one self-contained HTML page
// with plots and as JSON.
package report
