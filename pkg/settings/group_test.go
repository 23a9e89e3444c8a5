package settings

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against a control group that cannot work and is noticed only when a
// member is lost.
func TestControlGroupIsChecked(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]string{
		"[a, b, c]\ndata: d":    "",
		"[a]\ndata: d":          "",
		"[b]":                   "",
		"[a, b]\ndata: d":       "control_group",
		"[a, b, c, d, e, f, g]": "control_group",
		"[a, b, a]\ndata: d":    "control_group[2]",
		"[a, '', c]\ndata: d":   "control_group[1]",
		"[a, b, c]":             "data",
	} {
		_, err := Parse("file", []byte("instance: a\nzone: z\nlisten: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\ncontrol_group: "+text+"\n"))
		if want == "" {
			g.Expect(err).NotTo(HaveOccurred(), text)
			continue
		}
		key, ok := err.(*KeyError)
		g.Expect(ok).To(BeTrue(), text)
		g.Expect(key.Key).To(Equal(want), text)
	}
	s := Settings{Instance: "z", ControlGroup: []model.InstanceID{"a", "b", "c"}, Bootstrap: &Bootstrap{
		Roster: []Member{{ID: "a", Zone: "x"}, {ID: "b", Zone: "x"}, {ID: "c", Zone: "y"}}}}
	key, err := s.checkControlGroup()
	g.Expect(key).To(Equal("control_group[1]"))
	g.Expect(err).To(HaveOccurred())
}
