package gateway

import (
	"bytes"
	"fmt"
	"strings"
)

// errUnsafeHead means that a value cannot be written into the head of a message without
// changing what the head says.
type errUnsafeHead struct{ name, value string }

// Error implements the error interface.
func (e errUnsafeHead) Error() string {
	return fmt.Sprintf("%s %q cannot be written into a request head", e.name, e.value)
}

// headWriter writes the head of a request. It is the only place that does. A value that
// would end its line or field is not written; err is then set, and nothing of the head may
// be sent.
type headWriter struct {
	buffer bytes.Buffer
	err    error
}

// requestLine writes the request line and the Host field.
func (w *headWriter) requestLine(method, target, host string) {
	w.check("method", method, isToken(method))
	w.check("target", target, (strings.HasPrefix(target, "/") || target == "*") && isVisible(target))
	w.check("host", host, isVisible(host))
	w.buffer.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
}

// field writes a header field.
func (w *headWriter) field(name, value string) {
	w.check("name of field", name, isToken(name))
	w.check(name, value, isFieldValue(value))
	w.buffer.WriteString(name + ": " + value + "\r\n")
}

// end writes the empty line after the head.
func (w *headWriter) end() { w.buffer.WriteString("\r\n") }

func (w *headWriter) check(name, value string, ok bool) {
	if !ok && w.err == nil {
		w.err = errUnsafeHead{name, value}
	}
}

// isVisible reports whether the text has neither spaces nor control characters.
func isVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether the text can be the value of a header field: no control
// characters but tabs, and no white space at its ends, which receivers remove.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return text == "" || isInk(text[0]) && isInk(text[len(text)-1])
}

func isInk(c byte) bool { return c != ' ' && c != '\t' }

// isToken reports whether the text is a token of HTTP.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		isLetterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isLetterOrDigit && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return text != ""
}
