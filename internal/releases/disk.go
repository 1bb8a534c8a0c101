package releases

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// saver writes a value to a file whenever it changes. One goroutine writes: a disk that hangs holds that one alone, and what
// came meanwhile is written once, in its newest form.
type fileWriter struct {
	path    string
	log     *slog.Logger
	changed chan any
}

func newFileWriter(path string, log *slog.Logger) *fileWriter {
	return &fileWriter{path: path, log: log, changed: make(chan any, 1)}
}

// put has a value written, in place of one that still waits. One goroutine at a time may call it.
func (s *fileWriter) enqueue(value any) {
	select {
	case <-s.changed:
	default:
	}
	s.changed <- value
}

// run writes until done is closed, and what still waits then.
func (s *fileWriter) run(done <-chan struct{}) {
	failing := false
	for {
		var value any
		select {
		case value = <-s.changed:
		case <-done:
			select {
			case value = <-s.changed:
			default:
				return
			}
		}
		err := s.write(value)
		if err != nil && !failing {
			s.log.Error("release not kept", "reason", "disk", "file", s.path, "err", err)
		}
		failing = err != nil
	}
}

func (s *fileWriter) write(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(s.path), 0o700); err != nil {
		return err
	}
	return renameio.WriteFile(s.path, text, 0o600, renameio.WithTempDir(filepath.Dir(s.path)))
}

// load reads a value that a saver wrote. A file that is not there, or is damaged, leaves the value as it is: what was kept
// can be had from the servers again.
func loadFile(path string, into any, log *slog.Logger) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("release of before not taken up", "file", path, "err", err)
	}
}
