// Package handover passes what an ending process still holds for its clients to the next process at the same address. It uses
// files in a directory that both can write.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
)

const (
	// maxFileBytes limits what is read of a file.
	maxFileBytes = 16 << 20
	// fileMode keeps other users from reading what is handed over.
	fileMode = 0o600
	suffix   = ".handover"
)

// errOtherUser is the error for a file that this process's user has not written.
var errOtherUser = errors.New("no regular file of this user")

// Files names the place at which the processes that serve an address, one after the other, hand things over.
type Files struct {
	Dir  string
	Addr string
}

// prefix is the start of the names of all files of a kind.
func (f Files) prefix(kind string) string {
	return "masthill-" + strings.NewReplacer(":", "-", "/", "-").Replace(f.Addr) + "." + kind + "."
}

// Put keeps items of a kind for the next process. It writes them in one step and durably, so it may block as long as the disk
// does.
func Put[T any](f Files, kind string, items []T) error {
	text, err := json.Marshal(items)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%d-%d%s", f.prefix(kind), os.Getpid(), time.Now().UnixNano(), suffix)
	return renameio.WriteFile(filepath.Join(f.Dir, name), text, fileMode, renameio.WithTempDir(f.Dir))
}

// Take returns the items of a kind that earlier processes have put, and removes them: they are returned once. What can't be
// read is left out, with an error for each file.
func Take[T any](f Files, kind string) (items []T, err error) {
	entries, err := os.ReadDir(f.Dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), f.prefix(kind)) || !strings.HasSuffix(e.Name(), suffix) {
			continue
		}
		taken, fileErr := takeFile[T](filepath.Join(f.Dir, e.Name()))
		if fileErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", e.Name(), fileErr))
		}
		items = append(items, taken...)
	}
	return items, err
}

// takeFile reads a file and removes it. If another process has removed it first, the items are that process's.
func takeFile[T any](path string) (items []T, err error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if owner, ok := info.Sys().(*syscall.Stat_t); !ok || int(owner.Uid) != os.Geteuid() || !info.Mode().IsRegular() {
		return nil, errOtherUser
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes))
	if err != nil {
		return nil, err
	}
	return items, json.Unmarshal(text, &items)
}
