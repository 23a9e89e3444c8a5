// Package storage keeps the term, vote, log and snapshot of a member of the
// control group in one data folder: a write-ahead file and a snapshot file, both
// with checksums. Nothing is reported as written before it is synced.
package storage
