// Package crowd plays clients that do not keep to the protocol against processes of
// anvilcrankd on loopback addresses, and measures from outside what the processes hold. The
// stand-ins of platform/standin and a plain HTTP server play the other parties.
package crowd
