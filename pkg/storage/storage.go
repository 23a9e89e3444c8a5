package storage

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"io/fs"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Names of the files in the data folder.
const (
	lockFileName     = "lock"
	logFileName      = "log"
	snapshotFileName = "snapshot"
	// temporarySuffix is added to the name of a file that is not yet complete.
	temporarySuffix = ".new"
)

// formatVersion is the version of the file formats.
const formatVersion = 1

// logHeader is the first record of the write-ahead log.
type logHeader struct {
	Version int
	// Disk identifies the data folder. Emptying the folder changes it.
	Disk model.DiskID
	// SnapshotIndex and SnapshotTerm are the index and the term of the snapshot
	// that the log continues; both are 0 if there is none. In the file they are
	// named Base and BaseTerm.
	SnapshotIndex uint64 `cbor:"Base"`
	SnapshotTerm  uint64 `cbor:"BaseTerm"`
}

// logRecord is one write to the write-ahead log. After a crash it is read either
// completely or not at all.
type logRecord struct {
	Hard    event.HardState
	Entries []message.Entry
}

// snapshotRecord is the only record of the snapshot file.
type snapshotRecord struct {
	Version int
	// Hard is the hard state (term, vote and commit index) at the time of the
	// snapshot. It is used if the process ended after it had replaced the
	// snapshot file and before it replaced the log.
	Hard     event.HardState
	Snapshot message.Snapshot
}

// Storage is an open data folder. It is not safe for concurrent use.
type Storage struct {
	fs   FS
	lock io.Closer
	log  File
	// logLength is the synced length of the log in bytes, where the next record
	// starts.
	logLength int64
	// syncMarkSeq is the sequence number of the latest sync mark.
	syncMarkSeq uint64
	// contents is the hard state, snapshot and log entries that the files hold
	// after the latest write.
	contents event.StorageLoaded
	// err is the first write or sync error. After an error the state of the files
	// is unknown until they are read again, so nothing more is written.
	err error
}

// Open locks the folder and reads its files. An empty folder gets a new disk
// identifier. The error wraps ErrLocked if another process has locked the
// folder, and ErrCorrupt if the files are damaged. After ErrCorrupt the folder
// must be emptied and the member repaired from the other members.
func Open(f FS) (*Storage, error) {
	lock, err := f.Lock(lockFileName)
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	s := &Storage{fs: f, lock: lock}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Contents returns the hard state, snapshot and log entries in the folder.
func (s *Storage) Contents() event.StorageLoaded { return s.contents }

// Close closes the files and releases the lock. It syncs nothing: a write that
// failed stays unsynced.
func (s *Storage) Close() error {
	if s.log != nil {
		_ = s.log.Close()
	}
	return s.lock.Close()
}

// load reads the snapshot file and the log, or creates the log in an empty
// folder.
func (s *Storage) load() error {
	saved, err := s.loadSnapshot()
	if err != nil {
		return err
	}
	data, err := s.fs.ReadFile(logFileName)
	switch {
	case errors.Is(err, fs.ErrNotExist) && saved.Snapshot.Index == 0:
		s.contents.Disk = model.DiskID(rand.Text())
		return s.rewriteLog()
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%w: snapshot without log", ErrCorrupt)
	case err != nil:
		return fmt.Errorf("read log: %w", err)
	}
	if err := s.loadLog(data); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if err := s.mergeSnapshot(saved); err != nil {
		return err
	}
	// Rewriting the log removes a torn tail. It also fails if the disk is not
	// writable, so that this is detected before the member votes.
	return s.rewriteLog()
}

// loadSnapshot reads the snapshot file. It returns an empty record if there is
// none.
func (s *Storage) loadSnapshot() (snapshotRecord, error) {
	data, err := s.fs.ReadFile(snapshotFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return snapshotRecord{}, nil
	}
	if err != nil {
		return snapshotRecord{}, fmt.Errorf("read snapshot: %w", err)
	}
	var r snapshotRecord
	end, err := readFrame(data, 0, &r)
	if err != nil || end != len(data) || r.Version != formatVersion || r.Snapshot.Index == 0 {
		// The file was synced before it was renamed to its final name, so a torn
		// file is corrupt too.
		return snapshotRecord{}, fmt.Errorf("read snapshot: %w", ErrCorrupt)
	}
	return r, nil
}

// loadLog reads the records of the write-ahead log. A torn record after the
// synced length ends the log without an error, since Write had not confirmed it.
func (s *Storage) loadLog(data []byte) error {
	synced, err := readSyncedLength(data)
	if err != nil {
		return err
	}
	var h logHeader
	offset, err := readFrame(data, firstFrameOffset, &h)
	if err != nil || h.Version != formatVersion || h.Disk == "" {
		return fmt.Errorf("%w: header", ErrCorrupt)
	}
	s.contents.Disk = h.Disk
	s.contents.Snapshot = message.Snapshot{Index: h.SnapshotIndex, Term: h.SnapshotTerm}
	for offset < len(data) {
		var r logRecord
		next, err := readFrame(data, offset, &r)
		if errors.Is(err, errTorn) && uint64(offset) >= synced {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: at %d of %d synced bytes: %v", ErrCorrupt, offset, synced, err)
		}
		if err := Apply(&s.contents, event.Persist{Hard: r.Hard, Entries: r.Entries}); err != nil {
			return fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		offset = next
	}
	return nil
}

// mergeSnapshot combines the snapshot file with the contents of the log. The
// snapshot is newer than the log if the process ended after it replaced the
// snapshot and before it replaced the log. The commit index that was stored with
// the snapshot is not used, since committed entries after the snapshot may be
// missing from the log.
func (s *Storage) mergeSnapshot(saved snapshotRecord) error {
	c := &s.contents
	snapshot := saved.Snapshot
	base := c.Snapshot
	switch {
	case snapshot.Index < base.Index || snapshot.Index == base.Index && snapshot.Term != base.Term:
		return fmt.Errorf("%w: log follows snapshot %d, found %d", ErrCorrupt, base.Index, snapshot.Index)
	case snapshot.Index == base.Index:
		c.Snapshot = snapshot
		return nil
	}
	keepTail := false
	if covered := snapshot.Index - base.Index; covered <= uint64(len(c.Entries)) {
		keepTail = c.Entries[covered-1].Term == snapshot.Term
	}
	hard := saved.Hard
	hard.Commit = max(snapshot.Index, c.Hard.Commit)
	return Apply(c, event.Persist{Hard: hard, Snapshot: snapshot, KeepTail: keepTail})
}

// Write applies writes in order and syncs them. After an error nothing more is
// written, and every later call returns the same error.
func (s *Storage) Write(batch []event.Persist) error {
	if s.err == nil {
		s.err = s.write(batch)
	}
	return s.err
}

// write applies a batch of writes to s.contents and stores it. If the batch
// contains a new snapshot, write replaces the snapshot file and the log.
// Otherwise it appends the batch to the log.
func (s *Storage) write(batch []event.Persist) error {
	var data []byte
	previousSnapshot := s.contents.Snapshot.Index
	for _, p := range batch {
		err := Apply(&s.contents, p)
		if err != nil {
			return err
		}
		if data, err = appendFrame(data, logRecord{Hard: p.Hard, Entries: p.Entries}); err != nil {
			return err
		}
	}
	switch {
	case s.contents.Snapshot.Index != previousSnapshot:
		return s.writeSnapshot()
	case len(data) > 0:
		return s.appendLog(data)
	}
	return nil
}

// appendLog appends records to the log. With them it writes a sync mark that
// holds the length of the log before the append, and then syncs the file.
func (s *Storage) appendLog(data []byte) error {
	if _, err := s.log.WriteAt(data, s.logLength); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	s.syncMarkSeq++
	if _, err := s.log.WriteAt(encodeSyncMark(s.syncMarkSeq, uint64(s.logLength)), syncMarkOffset(s.syncMarkSeq)); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	s.logLength += int64(len(data))
	return nil
}

// writeSnapshot replaces the snapshot file with the snapshot and hard state in
// s.contents, and then rewrites the log.
func (s *Storage) writeSnapshot() error {
	data, err := appendFrame(nil, snapshotRecord{
		Version: formatVersion, Hard: s.contents.Hard, Snapshot: s.contents.Snapshot})
	if err != nil {
		return err
	}
	f, err := s.replaceFile(snapshotFileName, data)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close snapshot: %w", err)
	}
	return s.rewriteLog()
}

// rewriteLog replaces the log with a new one. The new log holds the hard state
// and all log entries of s.contents in a single record.
func (s *Storage) rewriteLog() error {
	c := &s.contents
	data, err := appendFrame(make([]byte, firstFrameOffset), logHeader{
		Version: formatVersion, Disk: c.Disk, SnapshotIndex: c.Snapshot.Index, SnapshotTerm: c.Snapshot.Term})
	if err != nil {
		return err
	}
	if data, err = appendFrame(data, logRecord{Hard: c.Hard, Entries: c.Entries}); err != nil {
		return err
	}
	s.syncMarkSeq = 1
	copy(data[syncMarkOffset(s.syncMarkSeq):], encodeSyncMark(s.syncMarkSeq, uint64(len(data))))
	f, err := s.replaceFile(logFileName, data)
	if err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	s.log = f
	s.logLength = int64(len(data))
	return nil
}

// replaceFile writes data to a new file, syncs it and renames it to name, which
// replaces an existing file. It returns the new file open for further writes.
func (s *Storage) replaceFile(name string, data []byte) (File, error) {
	f, err := s.fs.Create(name + temporarySuffix)
	if err != nil {
		return nil, fmt.Errorf("create %s: %w", name, err)
	}
	if err := s.writeAndRename(f, name, data); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// writeAndRename writes and syncs the temporary file, renames it to its final
// name and syncs the folder.
func (s *Storage) writeAndRename(f File, name string, data []byte) error {
	if _, err := f.WriteAt(data, 0); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := s.fs.Rename(name+temporarySuffix, name); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	if err := s.fs.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
