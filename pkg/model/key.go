package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// IdempotencyKey is a parsed idempotency key of the form ZONE.UNIXMS.RANDOM.
type IdempotencyKey struct {
	// Text is the key as sent by the caller.
	Text string
	// Home is the zone whose ledger group stores the key.
	Home Zone
	// Issued is the time at which the caller created the key.
	Issued Time
}

// Limits of idempotency keys.
const (
	// KeyRetention is how long after the issue time of a key the ledger stores the
	// key and the outcome of its request.
	KeyRetention = 10 * time.Minute
	// MaxClockSkew is the largest difference that is tolerated between the clocks of
	// callers and instances. A ledger replica rejects a key whose issue time is
	// further in the future than this. A replica that restarts therefore knows that
	// it has not yet granted any key issued more than MaxClockSkew after the restart.
	MaxClockSkew = 2 * time.Second
	// maxKeyBytes is the largest length of the text of a key.
	maxKeyBytes = 200
	// minRandomBytes is the smallest length of the RANDOM part of a key.
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
	// Times up to 1<<43 ms, in the year 2248, fit into Time without overflow.
	if err != nil || issued < 0 || issued > 1<<43 {
		return IdempotencyKey{}, fmt.Errorf("idempotency key %q has no issue time in Unix milliseconds", text)
	}
	return IdempotencyKey{Text: text, Home: Zone(zone), Issued: Time(issued) * Time(time.Millisecond)}, nil
}

// FormatKey returns the text of an idempotency key.
func FormatKey(home Zone, issued Time, random string) string {
	return string(home) + "." + strconv.FormatInt(issued.UnixMilli(), 10) + "." + random
}
