// Package disk keeps what must survive a restart in one data folder: the
// identity of the VM's members, and for each consensus group its log segments
// and its latest snapshot. Nothing is acknowledged before it is synced.
package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

const (
	lockName   = "lock"
	folderMode = 0o755
	fileMode   = 0o644
)

// Folder is the data folder, owned by this process until Close.
type Folder struct {
	Path string

	lock  *os.File
	files files // nil is the system's
}

// system returns the file system that the folder is on.
func (d *Folder) system() files {
	if d.files == nil {
		return systemFiles{}
	}
	return d.files
}

// OpenFolder makes the folder if need be and takes its lock.
func OpenFolder(path string) (*Folder, error) {
	if err := makeFolders(systemFiles{}, path); err != nil {
		return nil, err
	}
	name := filepath.Join(path, lockName)
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, failure("write to data folder", path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, &Error{
			Operation: "lock data folder",
			Kind:      InUse,
			Path:      path,
			Err:       errors.New("another running process owns it"),
			Advice:    "stop that process, or give this VM its own folder",
		}
	}
	return &Folder{
		Path: path,
		lock: f,
	}, nil
}

// makeFolders makes a folder and those above it, and the names of all that it makes durable.
func makeFolders(system files, path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := makeFolders(system, parent); err != nil {
			return err
		}
	}
	if err := system.MakeFolder(path); err != nil {
		return failure("make data folder", path, err)
	}
	return system.SyncFolder(parent)
}

// Close gives up the lock.
func (d *Folder) Close() error { return d.lock.Close() }

// WriteFile replaces a file of the folder and syncs it and its folder.
func (d *Folder) WriteFile(name string, data []byte) error {
	return replaceFile(d.system(), filepath.Join(d.Path, name), data)
}

// ReadFile returns a file of the folder, nil if there is none, once the file and its name are
// durable: a process may have been killed before it had synced them.
func (d *Folder) ReadFile(name string) ([]byte, error) {
	path := filepath.Join(d.Path, name)
	data, err := d.system().ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, failure("read", name, err)
	}
	if err := d.system().SyncFile(path); err != nil {
		return nil, err
	}
	if err := d.system().SyncFolder(d.Path); err != nil {
		return nil, err
	}
	return data, nil
}

// replaceFile writes a new file beside the old one, syncs it, renames it over
// the old one, and syncs the folder, so that a crash leaves one or the other.
func replaceFile(system files, path string, data []byte) error {
	temporary := path + ".new"
	f, err := system.Open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return failure("write", path, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = system.Rename(temporary, path)
	}
	if err != nil {
		return failure("write", path, err)
	}
	return system.SyncFolder(filepath.Dir(path))
}
