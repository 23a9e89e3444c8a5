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
	file, size, err := s.fs.Open(logFileName)
	switch {
	case errors.Is(err, fs.ErrNotExist) && saved.Snapshot.Index == 0:
		s.contents.Disk = model.DiskID(rand.Text())
		return s.rewriteLog()
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%w: snapshot without log", ErrCorrupt)
	case err != nil:
		return fmt.Errorf("open log: %w", err)
	}
	err = s.loadLog(file, size)
	_ = file.Close() // nothing was written
	if err != nil {
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
	file, size, err := s.fs.Open(snapshotFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return snapshotRecord{}, nil
	}
	if err != nil {
		return snapshotRecord{}, fmt.Errorf("open snapshot: %w", err)
	}
	defer file.Close()
	var r snapshotRecord
	frames := frameReader{file: file, size: size}
	end, err := frames.read(0, &r)
	if err != nil || end != size || r.Version != formatVersion || r.Snapshot.Index == 0 {
		// The file was synced before it was renamed to its final name, so a torn
		// file is corrupt too.
		return snapshotRecord{}, fmt.Errorf("read snapshot: %w", ErrCorrupt)
	}
	return r, nil
}

// loadLog reads the records of the write-ahead log. A torn record after the
// synced length ends the log without an error, since Write had not confirmed it.
func (s *Storage) loadLog(file io.ReaderAt, size int64) error {
	synced, err := readSyncedLength(file, size)
	if err != nil {
		return err
	}
	frames := frameReader{file: file, size: size}
	var h logHeader
	offset, err := frames.read(firstFrameOffset, &h)
	if err != nil || h.Version != formatVersion || h.Disk == "" {
		return fmt.Errorf("%w: header", ErrCorrupt)
	}
	s.contents.Disk = h.Disk
	s.contents.Snapshot = message.Snapshot{Index: h.SnapshotIndex, Term: h.SnapshotTerm}
	for offset < size {
		var r logRecord
		next, err := frames.read(offset, &r)
		if errors.Is(err, errTorn) && offset >= synced {
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
	f, err := s.replaceFile(snapshotFileName, func(f File) error {
		_, err := f.WriteAt(data, 0)
		return err
	})
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close snapshot: %w", err)
	}
	return s.rewriteLog()
}

// rewrittenRecordBytes is the least size of the entries in a record of a rewritten log, but
// for the last one. A log is read and written record by record.
const rewrittenRecordBytes = 1 << 20

// rewriteLog replaces the log with a new one. The new log holds the hard state
// and all log entries of s.contents.
func (s *Storage) rewriteLog() error {
	s.syncMarkSeq = 1
	var length int64
	f, err := s.replaceFile(logFileName, func(f File) error {
		var err error
		length, err = s.writeContents(f)
		return err
	})
	if err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	s.log = f
	s.logLength = length
	return nil
}

// writeContents writes a log with the hard state and all log entries of s.contents to an
// empty file and returns its length.
func (s *Storage) writeContents(f File) (int64, error) {
	c := &s.contents
	data, err := appendFrame(make([]byte, firstFrameOffset), logHeader{
		Version: formatVersion, Disk: c.Disk, SnapshotIndex: c.Snapshot.Index, SnapshotTerm: c.Snapshot.Term})
	if err != nil {
		return 0, err
	}
	var length int64
	for rest := c.Entries; ; {
		n := entriesWithin(rest, rewrittenRecordBytes)
		if data, err = appendFrame(data, logRecord{Hard: c.Hard, Entries: rest[:n]}); err != nil {
			return 0, err
		}
		if _, err := f.WriteAt(data, length); err != nil {
			return 0, err
		}
		length += int64(len(data))
		data, rest = data[:0], rest[n:]
		if len(rest) == 0 {
			break
		}
	}
	_, err = f.WriteAt(encodeSyncMark(s.syncMarkSeq, uint64(length)), syncMarkOffset(s.syncMarkSeq))
	return length, err
}

// entriesWithin returns the number of entries from the first one on whose data has the given
// size or a little more.
func entriesWithin(list []message.Entry, size int) int {
	for i := range list {
		if size -= len(list[i].Data); size <= 0 {
			return i + 1
		}
	}
	return len(list)
}

// replaceFile creates a file, lets write fill it, syncs it and renames it to name,
// which replaces an existing file. It returns the new file open for further writes.
func (s *Storage) replaceFile(name string, write func(File) error) (File, error) {
	f, err := s.fs.Create(name + temporarySuffix)
	if err != nil {
		return nil, fmt.Errorf("create %s: %w", name, err)
	}
	if err := s.writeAndRename(f, name, write); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// writeAndRename writes and syncs the temporary file, renames it to its final
// name and syncs the folder.
func (s *Storage) writeAndRename(f File, name string, write func(File) error) error {
	if err := write(f); err != nil {
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
