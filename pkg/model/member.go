package model

// DiskID identifies the contents of a data folder. It is chosen at random when
// the folder is created, so a folder that replaces a lost one has a different
// identifier.
type DiskID string

// MemberID identifies a member of the control group: an instance together with
// the data folder that stores its term, its vote and its log.
type MemberID struct {
	Instance InstanceID
	Disk     DiskID
}

// String returns the form INSTANCE/DISK used in logs.
func (m MemberID) String() string { return string(m.Instance) + "/" + string(m.Disk) }

// Less orders members by instance, then by disk.
func (m MemberID) Less(o MemberID) bool {
	if m.Instance != o.Instance {
		return m.Instance < o.Instance
	}
	return m.Disk < o.Disk
}
