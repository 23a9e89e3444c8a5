package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// CallID identifies an HTTP call. The call waits for an effect that contains its
// identifier and its result.
type CallID uint64

// UpstreamAnnounced carries an upstream's announcement.
type UpstreamAnnounced struct {
	Call         CallID
	Announcement model.Announcement
}

func (UpstreamAnnounced) isBody() {}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	Call CallID
	Code result.Code
	// Owner is true if this instance owns the upstream.
	Owner bool
	// Redirect is the address of the instance that should own the upstream. It is
	// empty if this instance should own the upstream.
	Redirect string
}

func (AnnounceReply) isEffect() {}

// CallID returns the call that the effect answers.
func (r AnnounceReply) CallID() CallID { return r.Call }
