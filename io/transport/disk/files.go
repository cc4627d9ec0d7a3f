package disk

import (
	"io"
	"os"
	"path/filepath"
)

// files is what the package needs of a file system. Tests pass one that loses
// what was not synced.
type files interface {
	// Open opens a file for reading and writing.
	Open(path string, flag int) (file, error)
	ReadFile(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// List returns the paths that match a pattern of [filepath.Match].
	List(pattern string) ([]string, error)
	MakeFolder(path string) error
	// SyncFile makes what a file holds durable, whoever wrote it.
	SyncFile(path string) error
	// SyncFolder makes the names in the folder durable.
	SyncFolder(path string) error
}

// file is an open file.
type file interface {
	io.Writer
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Name() string
}

// systemFiles is the system's own file system.
type systemFiles struct{}

func (systemFiles) Open(path string, flag int) (file, error) {
	return os.OpenFile(path, flag, fileMode)
}

func (systemFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(path string) error { return os.Remove(path) }

func (systemFiles) Truncate(path string, size int64) error { return os.Truncate(path, size) }

func (systemFiles) List(pattern string) ([]string, error) { return filepath.Glob(pattern) }

func (systemFiles) MakeFolder(path string) error { return os.MkdirAll(path, folderMode) }

func (systemFiles) SyncFile(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return failure("sync", path, err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return failure("sync", path, err)
	}
	return nil
}

func (systemFiles) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return failure("sync", path, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return failure("sync", path, err)
	}
	return nil
}
