package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the data folder.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error
}

// SourceFile is a file of the data folder that is open for reading.
type SourceFile interface {
	io.ReaderAt
	io.Closer
}

// FS is the interface to the files of the data folder. File names have no
// directory part. Tests implement FS to inject faults.
type FS interface {
	// Open opens a file for reading and returns its size. It returns fs.ErrNotExist for a
	// file that does not exist.
	Open(name string) (SourceFile, int64, error)
	// Create creates an empty file. It replaces an existing one.
	Create(name string) (File, error)
	// Rename renames a file. It replaces an existing one.
	Rename(from, to string) error
	// SyncFolder makes created and renamed files durable.
	SyncFolder() error
	// Lock locks the folder by means of a lock file until the returned Closer
	// is closed. It returns ErrLocked if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// ErrLocked reports that another process has locked the data folder.
var ErrLocked = errors.New("the data folder is used by another process")

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// osFolder implements FS with a folder of the operating system.
type osFolder string

// OpenFolder returns the folder at path and creates it if it does not exist.
func OpenFolder(path string) (FS, error) {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	return osFolder(path), nil
}

func (f osFolder) path(name string) string { return filepath.Join(string(f), name) }

// Open implements FS.
func (f osFolder) Open(name string) (SourceFile, int64, error) {
	file, err := os.Open(f.path(name))
	if err != nil {
		return nil, 0, err
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, 0, err
	}
	return file, info.Size(), nil
}

// Create implements FS.
func (f osFolder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// Rename implements FS.
func (f osFolder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// SyncFolder implements FS.
func (f osFolder) SyncFolder() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS. The operating system releases the lock when the process
// exits or crashes.
func (f osFolder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.path(name), os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file, nil
}
