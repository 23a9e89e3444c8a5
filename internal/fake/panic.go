package fake

import "net/http"

// PanickingWriter is a response writer that panics when a header is written.
type PanickingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (PanickingWriter) WriteHeader(int) { panic("broken writer") }

// Unwrap returns the writer that is wrapped, for http.ResponseController.
func (w PanickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
