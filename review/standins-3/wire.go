package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the names of headers and fields on the users' pages, which Go files outside the
// platform folder do not contain.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err)
	}
	return names
}()

var (
	attemptHeader  = wire["attempt"]
	sealHeader     = wire["seal"]
	targetHeader   = wire["target"]
	loadHeader     = wire["load"]
	deadlineHeader = wire["deadline"]
	objectiveField = wire["objective"]
	coldField      = wire["cold"]
)
