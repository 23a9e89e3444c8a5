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

// Names of the files.
const (
	lockFileName     = "lock"
	logFileName      = "log"
	snapshotFileName = "snapshot"
	temporarySuffix  = ".new"
)

// formatVersion is the version of the file formats.
const formatVersion = 1

// header is the first record of the write-ahead file.
type logHeader struct {
	Version int
	Disk    model.DiskID
	// Base and BaseTerm are the snapshot that the records follow.
	SnapshotIndex uint64 `cbor:"Base"`
	SnapshotTerm  uint64 `cbor:"BaseTerm"`
}

// record is one write. It takes effect as a whole or not at all.
type logRecord struct {
	Hard    event.HardState
	Entries []message.Entry
}

// snapshotRecord is the only record of the snapshot file.
type snapshotRecord struct {
	Version int
	// Hard is the hard state that belongs to the snapshot, for a process that
	// ends before the log is replaced as well.
	Hard     event.HardState
	Snapshot message.Snapshot
}

// Storage is an open data folder. It is used by one goroutine.
type Storage struct {
	fs          FS
	lock        io.Closer
	log         File
	logLength   int64
	syncMarkSeq uint64
	contents    event.StorageLoaded
	// err is the first write or sync error. After it the state of the files is
	// unknown until they are read again, so nothing more is written.
	err error
}

// Open locks the folder and reads it. A new folder gets a new disk identifier.
// The error is ErrLocked if another process has it, and wraps ErrCorrupt if the
// files cannot be trusted; then the folder must be emptied and the member
// repaired from the others.
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

// Contents returns what the folder holds.
func (s *Storage) Contents() event.StorageLoaded { return s.contents }

// Close closes the files and releases the lock. Nothing is synced that Write has
// not synced.
func (s *Storage) Close() error {
	if s.log != nil {
		_ = s.log.Close()
	}
	return s.lock.Close()
}

// load reads the files, or begins new ones in an empty folder.
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
	// A rewritten file has no torn tail, and the disk is proven writable before
	// the member takes part.
	return s.rewriteLog()
}

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
		// The file was synced before it got its name, so a torn one is corrupt.
		return snapshotRecord{}, fmt.Errorf("read snapshot: %w", ErrCorrupt)
	}
	return r, nil
}

// loadLog reads the records. Only those after the mark may be torn; they were
// not confirmed.
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

// adopt joins the snapshot with the log. The snapshot is newer if the process
// ended between the two replacements. Its commit index is not taken over, since
// the entries it covers may be missing from the log.
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

// Write carries out writes in order and syncs them. After an error nothing more
// is written, and every call returns the error.
func (s *Storage) Write(batch []event.Persist) error {
	if s.err == nil {
		s.err = s.write(batch)
	}
	return s.err
}

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

// appendLog appends records, sets the mark to the length before them, and syncs
// both.
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

// writeSnapshot replaces the snapshot, then the log, by the present contents.
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

// rewriteLog replaces the log by one that holds the present contents.
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

// replace puts a synced file in the place of another and returns it open.
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
