// Package telemetry writes numbered log events and keeps the metrics of an
// instance, with latency histograms by tenant, service and class.
package telemetry
