// Package state keeps the learned state of an instance across restarts, in a snapshot file with a version and a checksum.
// It is written outside the core's goroutine, by temporary file, fsync and rename. A snapshot that can't be trusted is
// rejected with a reason, and the instance starts as it would without one.
package state

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/google/renameio/v2"

	"masthill/control"
	"masthill/control/levels"
	"masthill/control/recovery"
)

const (
	// version is the version of the file format. A file of a newer version was written by a newer program and is
	// rejected.
	version = 1
	magic   = "masthill-state"
	// maxFileBytes limits what is read; it is enough for some ten thousand offices.
	maxFileBytes = 16 << 20
	// finalTimeout limits the last snapshot, so that a disk that hangs does not delay the end of the process.
	finalTimeout = 500 * time.Millisecond
	// fileName is the snapshot's name in its directory.
	fileName = "learnt.state"
)

// The reasons for which a snapshot is rejected.
var (
	ErrNoSnapshot    = errors.New("none")
	ErrDamaged       = errors.New("damaged")
	ErrNewerVersion  = errors.New("of a newer version")
	ErrOtherInstance = errors.New("another instance's")
	ErrTooOld        = errors.New("too old")
	ErrFutureTime    = errors.New("from the future: the clock went back")
	ErrInvalid       = errors.New("makes no sense")
)

// Snapshot is the content of the file.
type Snapshot struct {
	Instance     string               `json:"instance"`
	WrittenAt    time.Time            `json:"at"`
	StartedAt    time.Time            `json:"started"` // of the process that wrote it
	EndReason    string               `json:"ended"`   // set in the last snapshot of a process: why it ended
	LearnedState control.LearnedState `json:"learnt"`
	// Levels are the latest changes of the level of service.
	Levels []levels.Change `json:"levels,omitempty"`
}

// Encode returns the text of the file: a line with version and checksum, and the snapshot as JSON.
func Encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	return append(fmt.Appendf(nil, "%s %d %s\n", magic, version, hex.EncodeToString(sum[:])), body...), nil
}

// Decode reads the text of a file and checks that it is intact, is of this instance and is neither too old nor from the
// future. The error wraps one of this package's errors.
func Decode(text []byte, instance string, now time.Time, maxAge time.Duration) (*Snapshot, error) {
	header, body, ok := bytes.Cut(text, []byte("\n"))
	var v int
	var sum string
	if n, err := fmt.Sscanf(string(header), magic+" %d %64s", &v, &sum); !ok || err != nil || n != 2 {
		return nil, ErrDamaged
	}
	if v > version {
		return nil, fmt.Errorf("%w: %d", ErrNewerVersion, v)
	}
	if actual := sha256.Sum256(body); v < 1 || hex.EncodeToString(actual[:]) != sum || len(header) != len(fmt.Sprintf("%s %d %s", magic, v, sum)) {
		return nil, ErrDamaged
	}
	var s Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	switch age := now.Sub(s.WrittenAt); {
	case s.Instance != instance:
		return nil, fmt.Errorf("%w: %q", ErrOtherInstance, s.Instance)
	case age < 0:
		return nil, fmt.Errorf("%w by %v", ErrFutureTime, -age)
	case age > maxAge:
		return nil, fmt.Errorf("%w: %v", ErrTooOld, age.Round(time.Millisecond))
	}
	if err := s.LearnedState.Check(now.UnixNano()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return &s, nil
}

// Load reads the snapshot in a directory. The error is ErrNoSnapshot if there is none.
func Load(dir, instance string, now time.Time, maxAge time.Duration) (*Snapshot, error) {
	f, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoSnapshot
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, ErrDamaged
	}
	return Decode(text, instance, now, maxAge)
}

// Evidence returns the servers that were known to work, for the recovery after a start.
func (s *Snapshot) Evidence() (e []recovery.Evidence) {
	for _, o := range s.LearnedState.Servers {
		if o.EstablishedSentAt > 0 && !o.Down {
			e = append(e, recovery.Evidence{Server: o.ID, ReadyAt: o.ReadyAt, SucceededAt: o.EstablishedSentAt, Delay: int64(o.Delay)})
		}
	}
	return e
}

// SnapshotWriter writes snapshots while an instance runs.
type SnapshotWriter struct {
	Dir, Instance string
	Interval      time.Duration
	Log           *slog.Logger
	LearnedState  func() control.LearnedState // queries the core; may block as long as the core is busy
	Levels        func() []levels.Change      // may block too; nil: there are no levels
	WriteFile     func(path string, text []byte) error

	started time.Time
	failing atomic.Bool
}

// writeFile replaces a file atomically: a reader sees the old or the new content, and so does whoever reads after a
// crash.
func writeFile(path string, text []byte) error {
	if err := renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync() // makes the rename durable
}

// Run writes a snapshot each interval until ctx ends, and a last one then. Errors of the disk don't end it: it logs once
// that snapshots fail and once that they work again.
func (w *SnapshotWriter) Run(ctx context.Context) error {
	w.started = time.Now()
	if w.WriteFile == nil {
		w.WriteFile = writeFile
	}
	tick := time.NewTicker(w.Interval)
	defer tick.Stop()
	writing := make(chan struct{}, 1) // filled while a write is in progress; at most one write waits for a disk that hangs
	save := func(endReason string) <-chan struct{} {
		select {
		case writing <- struct{}{}:
		default:
			return nil
		}
		done := make(chan struct{})
		s := Snapshot{LearnedState: w.LearnedState(), EndReason: endReason}
		if w.Levels != nil {
			s.Levels = w.Levels()
		}
		go func() {
			defer close(done)
			w.save(s)
			<-writing
		}()
		return done
	}
	for {
		select {
		case <-tick.C:
			save("")
			continue
		case <-ctx.Done():
		}
		limit := time.After(finalTimeout)
		select {
		case writing <- struct{}{}: // the write in progress is done
			<-writing
		case <-limit:
			w.Log.Warn("last snapshot left out", "why", "the previous one is not written yet")
			return nil
		}
		select {
		case <-save("term"):
		case <-limit:
			w.Log.Warn("last snapshot left out", "why", "the disk takes too long")
		}
		return nil
	}
}

// save writes a snapshot and logs when writing starts to fail or works again.
func (w *SnapshotWriter) save(s Snapshot) {
	if s.LearnedState.At == 0 { // the core has ended, or has had no event yet
		return
	}
	s.Instance, s.WrittenAt, s.StartedAt = w.Instance, time.Now(), w.started
	text, err := Encode(s)
	if err == nil {
		err = w.WriteFile(filepath.Join(w.Dir, fileName), text)
	}
	switch {
	case err != nil && !w.failing.Load():
		w.Log.Error("snapshots fail", "dir", w.Dir, "err", err)
	case err == nil && w.failing.Load():
		w.Log.Info("snapshots work again", "dir", w.Dir)
	}
	w.failing.Store(err != nil)
}
