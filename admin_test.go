package anvilcrank_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// deployment is a set of instances that run in the test process. settings[n],
// instances[n] and stops[n] belong to instance n. Calling stops[n] stops the
// instance.
type deployment struct {
	t         *testing.T
	settings  []*settings.Settings
	instances []*anvilcrank.Instance
	stops     []func()
}

// startDeployment runs three members of the control group (instances 0 to 2) and
// one instance without a disk (instance 3).
func startDeployment(t *testing.T) *deployment {
	d := &deployment{t: t}
	b := &settings.Bootstrap{}
	var members []model.InstanceID
	for i, zone := range []model.Zone{"a", "b", "c", "d"} {
		id := model.InstanceID(zone + "-1")
		b.Zones = append(b.Zones, settings.Zone{Zone: zone, Region: model.Region("r-" + zone)})
		b.Roster = append(b.Roster, settings.RosterEntry{ID: id, Zone: zone})
		s := &settings.Settings{Instance: id, Zone: zone, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Bootstrap: b, RecordedEvents: 1000}
		if i < 3 {
			members = append(members, id)
			s.Data = t.TempDir()
		}
		d.settings = append(d.settings, s)
	}
	for i, s := range d.settings {
		s.ControlGroup = members
		for _, other := range d.instances {
			s.Peers = append(s.Peers, other.PeerAddress())
		}
		d.instances = append(d.instances, nil)
		d.stops = append(d.stops, nil)
		d.start(i)
	}
	t.Cleanup(func() {
		for _, stop := range d.stops {
			stop()
		}
	})
	return d
}

// start creates instance n from settings[n] and runs it in the background.
func (d *deployment) start(n int) {
	i, err := anvilcrank.New(d.settings[n], anvilcrank.Options{Logger: &log.Logger{Handler: discard.New()}, Seed: uint64(n + 1),
		OnInvariant: func(f event.InvariantFailed) { d.t.Errorf("invariant %s: %s", f.Name, f.Detail) }})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = i.Run(ctx)
	}()
	d.instances[n] = i
	d.stops[n] = func() {
		cancel()
		<-done
	}
}

// call sends a request to the administration API of instance n and returns the
// HTTP status, or 0 if the request fails. If response is not nil, call decodes
// the response body into it.
func (d *deployment) call(n int, method, path, token, body string, response any) int {
	req, _ := http.NewRequest(method, "http://"+d.instances[n].Address()+"/v1/admin/"+path, bytes.NewBufferString(body))
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if response != nil {
		_ = json.Unmarshal(data, response)
	}
	return resp.StatusCode
}

// version returns the version of the configuration in force at instance n.
func (d *deployment) version(n int) model.Version {
	var c model.Config
	d.call(n, "GET", "config", "", "", &c)
	return c.Version
}

// Guards against four failures: an accepted change does not come into force on
// every instance; two conflicting changes are both accepted; a change that the
// client sends again is applied twice; or an instance, with or without a disk,
// has an older version in force after a restart.
func TestChangeThroughTheAPIReachesEveryInstance(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t)
	for n := range d.instances {
		g.Eventually(func() model.Version { return d.version(n) }, 10*time.Second).Should(BeNumerically(">=", 2))
	}
	base := d.version(3)
	body := func(id string, bytesPerSecond int) string {
		return fmt.Sprintf(`{"change_id":%q,"expected_version":%d,"author":"ada","operation":{"kind":"set_links",
			"links":[{"a":"r-a","b":"r-b","bytes_per_second":%d}]}}`, id, base, bytesPerSecond)
	}
	var accepted, resent, rejected api.ChangeResponse
	g.Expect(d.call(3, "POST", "changes", "", body("change-won", 1), &accepted)).To(Equal(200), accepted.Message)
	g.Expect(d.call(1, "POST", "changes", "", body("change-won", 1), &resent)).To(Equal(200))
	g.Expect(resent.Version).To(Equal(accepted.Version))
	g.Expect(d.call(2, "POST", "changes", "", body("change-lost", 2), &rejected)).To(Equal(409))
	g.Expect(rejected.Winner.ID).To(Equal("change-won"))
	g.Expect(d.call(2, "POST", "changes", "", body("change-won", 3), &rejected)).To(Equal(422))
	g.Expect(d.call(2, "POST", "changes", "", `{"change_id":"change-x","unknown":1}`, nil)).To(Equal(400))
	var status api.StatusResponse
	g.Expect(d.call(3, "GET", fmt.Sprintf("status?version=%d&wait_ms=5000", accepted.Version), "", "", &status)).To(Equal(200))
	g.Expect(status.Current).To(BeTrue())
	g.Expect(status.Instances).To(HaveLen(4))
	for _, i := range status.Instances {
		g.Expect(i.Version).To(Equal(accepted.Version), "%s", i.ID)
	}
	var history struct{ Entries []struct{ Author string } }
	g.Expect(d.call(3, "GET", "history", "", "", &history)).To(Equal(200))
	g.Expect(history.Entries[0].Author).To(Equal("ada"))
	for _, n := range []int{0, 3} {
		d.stops[n]()
		d.start(n)
		g.Eventually(func() model.Version { return d.version(n) }, 10*time.Second).Should(Equal(accepted.Version))
	}
}

// Guards against two failures: a token with the reader role can change the
// configuration, or the API accepts requests without a token although tokens are
// configured.
func TestTokenRoles(t *testing.T) {
	g := NewWithT(t)
	d := &deployment{t: t, instances: make([]*anvilcrank.Instance, 1), stops: make([]func(), 1), settings: []*settings.Settings{{
		Instance: "a-1", Zone: "a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Bootstrap: &settings.Bootstrap{Zones: []settings.Zone{{Zone: "a", Region: "r"}}, Roster: []settings.RosterEntry{{ID: "a-1", Zone: "a"}}},
		Tokens: []settings.Token{{Name: "rita", Role: settings.RoleReader, Secret: "reader-token-0001"},
			{Name: "otto", Role: settings.RoleOperator, Secret: "operator-token-01"}}}}}
	d.start(0)
	t.Cleanup(func() { d.stops[0]() })
	g.Eventually(func() int { return d.call(0, "GET", "config", "reader-token-0001", "", nil) }, "5s").Should(Equal(200))
	change := `{"change_id":"change-1","expected_version":2,"operation":{"kind":"add_drain","drain":{"kind":"zone","target":"a"}}}`
	g.Expect(d.call(0, "GET", "status", "", "", nil)).To(Equal(401))
	g.Expect(d.call(0, "POST", "changes", "reader-token-0001", change, nil)).To(Equal(401))
	g.Expect(d.call(0, "POST", "dry-run", "reader-token-0001", change, nil)).To(Equal(200))
	g.Expect(d.call(0, "POST", "changes", "operator-token-01", change, nil)).To(Equal(200))
}
