package model

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxStartTimeAhead is how far the start time of an upstream's process may lie
	// after the present time of this instance, since their clocks differ.
	maxStartTimeAhead = time.Hour
	// maxSequence is the largest sequence number of a heartbeat. It leaves room for
	// the number that a deregistration assigns.
	maxSequence = 1 << 62
)

// ValidateName returns an error if a name is empty, longer than MaxNameLength
// bytes or not valid UTF-8, has control characters, or begins or ends with white space.
// Names are written into headers, where a line end would begin another field. field names
// the value in the error.
func ValidateName(field, name string) error {
	switch {
	case name == "" || len(name) > MaxNameLength:
		return fmt.Errorf("%s is empty or longer than %d bytes", field, MaxNameLength)
	case !utf8.ValidString(name):
		return fmt.Errorf("%s is not valid UTF-8", field)
	case strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("%s has a control character", field)
	case strings.TrimSpace(name) != name:
		return fmt.Errorf("%s begins or ends with white space", field)
	}
	return nil
}

// ValidateAddress returns an error unless the address is a host and a port from 1
// to 65535.
func ValidateAddress(address string) error {
	if err := ValidateName("address", address); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || strings.ContainsAny(host, " /?#@\\") {
		return fmt.Errorf("address %q has no valid host or no port from 1 to 65535", address)
	}
	return nil
}

// Validate returns an error for the first invalid value of the registration of an
// upstream. Such an upstream receives no requests. A deregistration needs only an
// identifier.
func (r *Registration) Validate() error {
	if err := ValidateName("upstream", string(r.ID)); err != nil {
		return err
	}
	switch {
	case r.State > RegistrationDeregistered:
		return fmt.Errorf("state %d is unknown", r.State)
	case r.Sequence > maxSequence:
		return fmt.Errorf("sequence %d is above %d", r.Sequence, uint64(maxSequence))
	case r.StartTimeMs < 0:
		return fmt.Errorf("start time %d is negative", r.StartTimeMs)
	case r.State == RegistrationDeregistered:
		return nil
	case r.Slots < 1 || r.Slots > MaxSlots:
		return fmt.Errorf("slots %d is not in 1 to %d", r.Slots, MaxSlots)
	}
	if err := ValidateName("service", string(r.Service)); err != nil {
		return err
	}
	if err := ValidateName("zone", string(r.Zone)); err != nil {
		return err
	}
	return ValidateAddress(r.Address)
}

// ValidateStart returns an error if the process of the upstream starts in the
// future. Its registration would keep those of all later processes from taking
// effect.
func (r *Registration) ValidateStart(at Time) error {
	if r.StartTimeMs > at.Add(maxStartTimeAhead).UnixMilli() {
		return fmt.Errorf("start time %d is in the future", r.StartTimeMs)
	}
	return nil
}
