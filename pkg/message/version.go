package message

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// RecordVersion identifies a version of a record. Key is a hash of the record's
// key, and Version is a hash of its version.
type RecordVersion struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Version uint64
}

// Hash returns a hash of the version. The digest of a set of records is the
// exclusive or of their hashes, so that a change of one record changes it without
// a pass over the others.
func (v RecordVersion) Hash() uint64 {
	var data [16]byte
	binary.BigEndian.PutUint64(data[:], v.Key)
	binary.BigEndian.PutUint64(data[8:], v.Version)
	return xxhash.Sum64(data[:])
}

// RecordKey returns the key by which instances compare the versions of a record. It
// is a hash of the kind and the name of the record.
func RecordKey(kind byte, parts ...string) uint64 {
	h := xxhash.New()
	_, _ = h.Write([]byte{kind})
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// RegistrationKey returns the key of the record of an upstream.
func RegistrationKey(id model.UpstreamID) uint64 { return RecordKey('u', string(id)) }

// RegistrationVersion returns the key and the version of a registration. The
// version is a hash of the start time of the upstream's process, of the
// sequence number and of whether the upstream is deregistered or leaving. It shows only
// whether two registrations are the same, not which of them is newer.
func RegistrationVersion(r *model.Registration) RecordVersion {
	var data [17]byte
	binary.BigEndian.PutUint64(data[:], uint64(r.StartTimeMs))
	binary.BigEndian.PutUint64(data[8:], r.Sequence)
	if r.State == model.RegistrationDeregistered {
		// Two instances that receive the same deregistration may assign different
		// sequence numbers, so the number is left out.
		binary.BigEndian.PutUint64(data[8:], 0)
		data[16] = 1
	}
	if r.Leaving {
		data[16] |= 2
	}
	return RecordVersion{Key: RegistrationKey(r.ID), Version: xxhash.Sum64(data[:])}
}
