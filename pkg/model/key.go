package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// IdempotencyKey is a parsed idempotency key of the form ZONE.UNIXMS.RANDOM.
type IdempotencyKey struct {
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
	MaxClockSkew   = 2 * time.Second
	maxKeyBytes    = 200
	minRandomBytes = 8
)

// ParseKey parses an idempotency key.
func ParseKey(text string) (IdempotencyKey, error) {
	if len(text) > maxKeyBytes {
		return IdempotencyKey{}, fmt.Errorf("idempotency key is longer than %d bytes", maxKeyBytes)
	}
	zone, rest, ok := strings.Cut(text, ".")
	if !ok || zone == "" {
		return IdempotencyKey{}, fmt.Errorf("idempotency key %q is not ZONE.UNIXMS.RANDOM", text)
	}
	ms, random, ok := strings.Cut(rest, ".")
	if !ok || len(random) < minRandomBytes {
		return IdempotencyKey{}, fmt.Errorf("idempotency key %q needs at least %d random characters", text, minRandomBytes)
	}
	issued, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || issued < 0 || issued > 1<<43 {
		return IdempotencyKey{}, fmt.Errorf("idempotency key %q has no issue time in Unix milliseconds", text)
	}
	return IdempotencyKey{Text: text, Home: Zone(zone), Issued: Time(issued) * Time(time.Millisecond)}, nil
}

// FormatKey makes the text of a key.
func FormatKey(home Zone, issued Time, random string) string {
	return string(home) + "." + strconv.FormatInt(issued.UnixMilli(), 10) + "." + random
}
