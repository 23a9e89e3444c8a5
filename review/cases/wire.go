//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
)

// object is a JSON object.
type object = map[string]any

//go:embed wire.json
var wireJSON []byte

// wire holds the platform's names of headers, and the fields of its messages that are
// the same in all cases.
var wire = func() (w struct {
	Headers                           struct{ ID, Target, Deadline, Seal, NotRun, Load, Key string }
	Route, Service, Limits, Heartbeat object
}) {
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		panic(err)
	}
	return w
}()

// with returns a copy of an object with more fields.
func with(base, fields object) object {
	o := maps.Clone(base)
	maps.Copy(o, fields)
	return o
}

func version(v int) string { return fmt.Sprintf("%08x", v) }

// routeItem returns a route in the format of the platform.
func routeItem(host, prefix, kind, service string, v int) object {
	return with(wire.Route, object{"host": host, "pathPrefix": prefix, "kind": kind, "service": service, "version": version(v)})
}

// serviceItem returns a service in the format of the platform.
func serviceItem(v int) object { return with(wire.Service, object{"version": version(v)}) }

// limitsItem returns the limits in the format of the platform.
func limitsItem(v int) object { return with(wire.Limits, object{"version": version(v)}) }
