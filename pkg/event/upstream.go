package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// CallID matches an effect to the HTTP call that waits for it.
type CallID uint64

// UpstreamAnnounced brings an announcement.
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
	// Redirect is the address of the instance that should own the upstream, ""
	// if this one does.
	Redirect string
}

func (AnnounceReply) isEffect() {}

// Answers returns the call that the effect answers.
func (r AnnounceReply) CallID() CallID { return r.Call }
