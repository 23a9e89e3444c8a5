package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Key is a parsed idempotency key of the form ZONE.UNIXMS.RANDOM.
type Key struct {
	// Text is the key as the caller sent it.
	Text   string
	Home   Zone
	Issued Time
}

// Limits of idempotency keys.
const (
	// KeyRetention is how long a key and its recorded outcome are kept.
	KeyRetention = 10 * time.Minute
	// MaxClockSkew is how far clocks of callers and instances may differ. Keys
	// from further in the future are refused, since a ledger replica that
	// restarts could not tell whether it had granted them before.
	MaxClockSkew    = 2 * time.Second
	maxKeyLength    = 200
	minRandomLength = 8
)

// ParseKey parses an idempotency key.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("idempotency key is longer than %d bytes", maxKeyLength)
	}
	zone, rest, ok := strings.Cut(text, ".")
	if !ok || zone == "" {
		return Key{}, fmt.Errorf("idempotency key %q is not ZONE.UNIXMS.RANDOM", text)
	}
	ms, random, ok := strings.Cut(rest, ".")
	if !ok || len(random) < minRandomLength {
		return Key{}, fmt.Errorf("idempotency key %q needs at least %d random characters", text, minRandomLength)
	}
	issued, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || issued < 0 || issued > 1<<43 {
		return Key{}, fmt.Errorf("idempotency key %q has no issue time in Unix milliseconds", text)
	}
	return Key{Text: text, Home: Zone(zone), Issued: Time(issued) * Time(time.Millisecond)}, nil
}

// NewKey makes the text of a key.
func NewKey(home Zone, issued Time, random string) string {
	return string(home) + "." + strconv.FormatInt(issued.UnixMilli(), 10) + "." + random
}
