package model

// DiskID identifies the contents of a data folder. It is drawn at random when
// the folder is created, so a folder that was lost never returns under its
// former identifier.
type DiskID string

// MemberID names a member of the control group: an instance together with the
// disk that holds its term, its vote and its log.
type MemberID struct {
	Instance InstanceID
	Disk     DiskID
}

// String returns the form used in logs.
func (m MemberID) String() string { return string(m.Instance) + "/" + string(m.Disk) }

// Less orders members by instance, then by disk.
func (m MemberID) Less(o MemberID) bool {
	if m.Instance != o.Instance {
		return m.Instance < o.Instance
	}
	return m.Disk < o.Disk
}
