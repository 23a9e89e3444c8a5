// Package telemetry writes the numbered log events and collects the metrics of
// an instance, with latency histograms by tenant, service and class.
package telemetry
