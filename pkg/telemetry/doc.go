// Package telemetry writes the log events of an instance and collects its
// metrics, with latency histograms by tenant, service and class.
package telemetry
