package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// demoShift is the traffic shift that the demo sets. Without a shift, requests to
// the catalogue service do not leave their region (SpillRegion), so every
// cross-region request to this service is a shifted one.
var demoShift = model.Shift{ID: "demo-shift", Service: "catalogue", From: "gulf", To: "plains", Percent: 50, Cap: 4}

// setShift sets the traffic shift through the administration API, as operators
// do.
func setShift(ctx context.Context, d *deployment.Deployment) error {
	address := d.AddressesNear(zones[0].Name, 0)[0]
	var status struct {
		Version model.Version `json:"version"`
	}
	if err := callAdminAPI(ctx, http.MethodGet, "http://"+address+"/v1/admin/status", nil, &status); err != nil {
		return err
	}
	body := map[string]any{
		"change_id":        "demo-shift-1",
		"expected_version": status.Version,
		"author":           "demo",
		"operation":        change.Operation{Kind: change.SetShift, Shift: &demoShift},
	}
	return callAdminAPI(ctx, http.MethodPost, "http://"+address+"/v1/admin/changes", body, nil)
}

// callAdminAPI sends one request to the administration API and decodes the response
// into target, unless target is nil.
func callAdminAPI(ctx context.Context, method, url string, body, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, url, resp.Status)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(target)
}

// checkShiftCap returns the highest number of shifted requests that upstreams
// executed concurrently. It records a violation if this number exceeds the cap of
// demoShift.
func checkShiftCap(d *deployment.Deployment) int {
	maxConcurrent := d.Journal.MaxConcurrentInFlow(fake.Flow{Service: demoShift.Service, From: demoShift.From, To: demoShift.To})
	if maxConcurrent > demoShift.Cap {
		d.RecordViolation(fmt.Sprintf("shift %s had %d concurrent requests, cap %d", demoShift.ID, maxConcurrent, demoShift.Cap))
	}
	return maxConcurrent
}
