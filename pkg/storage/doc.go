// Package storage keeps the term, vote, log and snapshot of a member of the
// control group in a data folder: a write-ahead log and a snapshot file, both
// with checksums. A write is reported as done only after it was synced. The
// package also saves the configuration that an instance has in force.
package storage
