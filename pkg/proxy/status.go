package proxy

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// InvalidStatusError reports a response whose status cannot be that of a response to a
// request without an upgrade. Nothing in it is used: its framing is not known, and its
// connection carries no other request.
type InvalidStatusError struct{ Status int }

// Error implements the error interface.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the status %03d of the response is invalid", e.Status)
}

// IsInformational reports whether a response with this status precedes the response to the
// request. An upgrade is never requested, so 101 is not among them.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus returns an error for a status that neither a final nor an informational
// response can have.
func CheckStatus(status int) error {
	if IsInformational(status) || status >= http.StatusOK && status <= maxStatus {
		return nil
	}
	return &InvalidStatusError{status}
}

// CheckFinalStatus returns an error for a status that the response to a request cannot have.
func CheckFinalStatus(status int) error {
	if IsInformational(status) {
		return &InvalidStatusError{status}
	}
	return CheckStatus(status)
}
