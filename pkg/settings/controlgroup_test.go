package settings

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against accepting an unsuitable control group, for example one with an
// even number of members or with two members in one zone. Such a group would
// fail when a member is lost.
var _ = It("unsuitable control groups are rejected", func() {
	g := NewWithT(GinkgoTB())
	const roster = "\ndata: d\nbootstrap: {roster: [{id: a, zone: x}, {id: b, zone: x}, {id: c, zone: y}]}"
	for text, want := range map[string]string{
		"[a, b, c]\ndata: d": "", "[b]": "", "[a, b, c]": "data", "[a, b]\ndata: d": "control_group",
		"[a, b, c, d, e, f, g]": "control_group", "[a, b, a]\ndata: d": "control_group[2]",
		"[a, '', c]\ndata: d": "control_group[1]", "[a, b, c]" + roster: "control_group[1]", "[a, c, e]" + roster: "control_group[2]",
	} {
		_, err := Parse("file", []byte("instance: a\nzone: z\nlisten: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\ncontrol_group: "+text+"\n"))
		var key KeyError
		if k := (*KeyError)(nil); errors.As(err, &k) {
			key = *k
		}
		g.Expect(key.Key).To(Equal(want), "%s: %v", text, err)
	}
})
