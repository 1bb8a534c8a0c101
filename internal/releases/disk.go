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

// fileWriter writes a value to a file whenever it changes. A goroutine of its own does the writing, so that a hanging disk
// blocks nothing else; of the values put meanwhile only the newest is written.
type fileWriter struct {
	path    string
	log     *slog.Logger
	changed chan any
}

func newFileWriter(path string, log *slog.Logger) *fileWriter {
	return &fileWriter{path: path, log: log, changed: make(chan any, 1)}
}

// enqueue schedules a value to be written and replaces one that is still waiting. Calls must not be concurrent.
func (s *fileWriter) enqueue(value any) {
	select {
	case <-s.changed:
	default:
	}
	s.changed <- value
}

// run writes values until done is closed, and then the one that is still waiting.
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

// loadFile reads a value that a fileWriter wrote. If the file is missing or damaged, the value is left unchanged, because
// its content can be fetched from the servers again.
func loadFile(path string, destination any, log *slog.Logger) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, destination)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Error("release of before not taken up", "file", path, "err", err)
	}
}
