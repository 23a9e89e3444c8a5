//go:build review

// Command cases plays the scripted cases of the review. It starts anvilcrankd
// processes with the command of the deploy file and plays the operator, clients and
// servers against them.
package main
