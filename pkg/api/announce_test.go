package api

import (
	"bytes"
	"testing"
)

// Guards against a crash on an announcement, and against one that passes the
// check with values that the slot accounting cannot hold.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","incarnation":1,"service":"s","zone":"z","address":"127.0.0.1:1","slots":3,"connections":9,"state":"serving"}`))
	f.Add([]byte(`{"slots":-1,"load":1e999}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnnouncement(bytes.NewReader(data))
		if err == nil && (a.Slots < 1 || a.Connections < 1 || a.Upstream == "" || a.Load < 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}
