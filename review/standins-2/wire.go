package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the names of headers and fields on the platform's pages, which stand in a file
// of their own as in the scripts of the first review.
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
	timeHeader     = wire["deadline"]
	affinityHeader = wire["affinity"]
	identityHeader = wire["identity"]
	objectiveField = wire["objective"]
	coldField      = wire["cold"]
)
