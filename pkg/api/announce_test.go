package api

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against announcements that cause a panic. Guards also against
// accepting values that the accounting of slots cannot handle, such as fewer
// than 1 slot.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","incarnation":1,"service":"s","zone":"z","address":"127.0.0.1:1","slots":3,"connections":9,"state":"serving"}`))
	f.Add([]byte(`{"slots":-1,"load":1e999}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnnouncement(bytes.NewReader(data))
		if err == nil && (a.Slots < 1 || a.MaxConnections < 1 || a.Upstream == "" || a.Load < 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}

// Guards against changes that cause a panic. Guards also against accepting a
// time, author or operation that operators must not set.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"change_id":"12345678","expected_version":3,"operation":{"kind":"add_drain","drain":{"kind":"zone","target":"a"}}}`))
	f.Add([]byte(`{"change_id":"12345678","operation":{"kind":"bootstrap"}}`))
	f.Add([]byte(`{} {}`))
	h := &admin{}
	h.options.Now = func() model.Time { return 7 }
	e := echo.New()
	f.Fuzz(func(t *testing.T, data []byte) {
		c := e.NewContext(httptest.NewRequest("POST", "/v1/admin/changes", bytes.NewReader(data)), httptest.NewRecorder())
		decoded, err := h.decodeChange(c, "olga")
		if err == nil && (decoded.Time != 7 || decoded.Author != "olga" || decoded.Operation.Kind == change.Bootstrap) {
			t.Fatalf("accepted %+v", decoded)
		}
	})
}
