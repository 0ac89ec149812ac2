package logstore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/juju/errors"
)

// file is a file that the store writes to; tests replace it to make writes and
// syncs fail.
type file interface {
	io.WriteCloser
	Sync() error
}

type createFunc func(path string) (file, error)

func createFile(path string) (file, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

type openFunc func(path string) (file, error)

func openFile(path string) (file, error) { return os.OpenFile(path, os.O_WRONLY, 0) }

// writeAtomically replaces the file at path: it writes and syncs a temporary file,
// renames it and syncs the folder.
func writeAtomically(create createFunc, path string, data []byte) error {
	temporary := path + ".tmp"
	f, err := create(temporary)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Annotatef(err, "writing %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Trace(err)
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	return errors.Annotatef(f.Sync(), "syncing folder %s", dir)
}

// lockFolder takes the lock that prevents two processes from using one folder.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("data folder %s: %w (%v)", dir, ErrLocked, err)
	}
	return f, nil
}

// numberedFiles returns the numbers in the names of the files that begin with
// prefix, in ascending order. The numbers are hexadecimal.
func numberedFiles(dir, prefix string) ([]uint64, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var numbers []uint64
	for _, entry := range names {
		digits, ok := strings.CutPrefix(entry.Name(), prefix)
		if !ok || strings.HasSuffix(digits, ".tmp") {
			continue
		}
		n, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("unexpected file %s in data folder %s", entry.Name(), dir)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func numberedPath(dir, prefix string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", prefix, n))
}
