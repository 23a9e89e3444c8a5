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

// shift is the operator's change of the demo. The catalogue does not spill out
// of its region, so every request that crosses regions is a shifted one.
var shift = model.Shift{ID: "demo-shift", Service: "catalogue", From: "gulf", To: "plains", Percent: 50, Cap: 4}

// shiftTraffic makes the shift through the administration API, as operators do.
func shiftTraffic(ctx context.Context, d *deployment.Deployment) error {
	address := d.AddressesNear(zones[0].Name, 0)[0]
	var present struct {
		Version model.Version `json:"version"`
	}
	if err := call(ctx, http.MethodGet, "http://"+address+"/v1/admin/status", nil, &present); err != nil {
		return err
	}
	body := map[string]any{
		"change_id":        "demo-shift-1",
		"expected_version": present.Version,
		"author":           "demo",
		"operation":        change.Operation{Kind: change.SetShift, Shift: &shift},
	}
	return call(ctx, http.MethodPost, "http://"+address+"/v1/admin/changes", body, nil)
}

// call sends one request to the administration API.
func call(ctx context.Context, method, url string, body, into any) error {
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
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// checkShift compares the most shifted requests at once with the cap.
func checkShift(d *deployment.Deployment) int {
	most := d.Journal.MaxConcurrentInFlow(fake.Flow{Service: shift.Service, From: shift.From, To: shift.To})
	if most > shift.Cap {
		d.RecordViolation(fmt.Sprintf("shift %s had %d requests at once, cap %d", shift.ID, most, shift.Cap))
	}
	return most
}
