// Package state keeps what an instance has learnt over the end of its process: a snapshot with a version and a
// checksum, written off the core's goroutine by temporary file, fsync and rename. A snapshot that can't be trusted is
// refused with a reason, and the instance starts with nothing, as it would without one.
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
	// version is that of the file's form. A file of a newer version is another program's, and is left alone.
	version = 1
	magic   = "masthill-state"
	// fileMost bounds what is read: a list of some ten thousand offices.
	fileMost = 16 << 20
	// finalFor is how long the last snapshot may take at the end: a disk that hangs must not hold up the end.
	finalFor = 500 * time.Millisecond
	// fileName is the snapshot's name in its directory.
	fileName = "learnt.state"
)

// The reasons for which a snapshot is refused.
var (
	ErrNoSnapshot    = errors.New("none")
	ErrDamaged       = errors.New("damaged")
	ErrNewerVersion  = errors.New("of a newer version")
	ErrOtherInstance = errors.New("another instance's")
	ErrTooOld        = errors.New("too old")
	ErrFutureTime    = errors.New("from the future: the clock went back")
	ErrInvalid       = errors.New("makes no sense")
)

// Snapshot is what the file holds.
type Snapshot struct {
	Instance  string               `json:"instance"`
	WrittenAt time.Time            `json:"at"`
	StartedAt time.Time            `json:"started"` // of the process that wrote it
	EndReason string               `json:"ended"`   // why that process ended, in its last snapshot; empty before
	Learnt    control.LearnedState `json:"learnt"`
	// Levels are the last changes of the level of service.
	Levels []levels.Change `json:"levels,omitempty"`
}

// Encode gives the file's text: a line with version and checksum, and the snapshot as JSON.
func Encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	return append(fmt.Appendf(nil, "%s %d %s\n", magic, version, hex.EncodeToString(sum[:])), body...), nil
}

// Decode reads a file's text and holds it against the rules: whose it is, how old it may be, what time it is. The error
// wraps one of the reasons of this package.
func Decode(text []byte, instance string, now time.Time, mostAge time.Duration) (*Snapshot, error) {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var v int
	var sum string
	if n, err := fmt.Sscanf(string(head), magic+" %d %64s", &v, &sum); !ok || err != nil || n != 2 {
		return nil, ErrDamaged
	}
	if v > version {
		return nil, fmt.Errorf("%w: %d", ErrNewerVersion, v)
	}
	if is := sha256.Sum256(body); v < 1 || hex.EncodeToString(is[:]) != sum || len(head) != len(fmt.Sprintf("%s %d %s", magic, v, sum)) {
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
	case age > mostAge:
		return nil, fmt.Errorf("%w: %v", ErrTooOld, age.Round(time.Millisecond))
	}
	if err := s.Learnt.Check(now.UnixNano()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return &s, nil
}

// Load reads the snapshot in a directory; ErrNone without one.
func Load(dir, instance string, now time.Time, mostAge time.Duration) (*Snapshot, error) {
	f, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoSnapshot
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err != nil {
		return nil, err
	}
	if len(text) > fileMost {
		return nil, ErrDamaged
	}
	return Decode(text, instance, now, mostAge)
}

// Evidence is what a snapshot tells the recovery after a start.
func (s *Snapshot) Evidence() (e []recovery.Evidence) {
	for _, o := range s.Learnt.Servers {
		if o.EstablishedSentAt > 0 && !o.Down {
			e = append(e, recovery.Evidence{Server: o.ID, ReadyAt: o.ReadyAt, SucceededAt: o.EstablishedSentAt, Delay: int64(o.Delay)})
		}
	}
	return e
}

// Keeper writes snapshots while an instance runs.
type SnapshotWriter struct {
	Dir, Instance string
	Interval      time.Duration
	Log           *slog.Logger
	Learnt        func() control.LearnedState // asks the core; may take as long as the core does
	Levels        func() []levels.Change      // the same; nil: there are none
	WriteFile     func(path string, text []byte) error

	started time.Time
	failing atomic.Bool
}

// write puts a file in its place at once: whoever reads sees the old one or the new one, and a crash leaves either.
func write(path string, text []byte) error {
	if err := renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync() // the rename itself
}

// Run writes a snapshot every so often until ctx ends, and a last one then. No fault of the disk ends it: it says once
// that snapshots fail and once that they work again, and calls go on.
func (k *SnapshotWriter) Run(ctx context.Context) error {
	k.started = time.Now()
	if k.WriteFile == nil {
		k.WriteFile = write
	}
	tick := time.NewTicker(k.Interval)
	defer tick.Stop()
	busy := make(chan struct{}, 1) // a write under way; a disk that hangs holds one, never more
	save := func(ended string) <-chan struct{} {
		select {
		case busy <- struct{}{}:
		default:
			return nil
		}
		done := make(chan struct{})
		s := Snapshot{Learnt: k.Learnt(), EndReason: ended}
		if k.Levels != nil {
			s.Levels = k.Levels()
		}
		go func() {
			defer close(done)
			k.save(s)
			<-busy
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
		limit := time.After(finalFor)
		select {
		case busy <- struct{}{}: // the write under way is over
			<-busy
		case <-limit:
			k.Log.Warn("last snapshot left out", "why", "the one before is not written yet")
			return nil
		}
		select {
		case <-save("term"):
		case <-limit:
			k.Log.Warn("last snapshot left out", "why", "the disk takes too long")
		}
		return nil
	}
}

func (k *SnapshotWriter) save(s Snapshot) {
	if s.Learnt.At == 0 { // the core has ended, or has had no event yet
		return
	}
	s.Instance, s.WrittenAt, s.StartedAt = k.Instance, time.Now(), k.started
	text, err := Encode(s)
	if err == nil {
		err = k.WriteFile(filepath.Join(k.Dir, fileName), text)
	}
	switch {
	case err != nil && !k.failing.Load():
		k.Log.Error("snapshots fail", "dir", k.Dir, "err", err)
	case err == nil && k.failing.Load():
		k.Log.Info("snapshots work again", "dir", k.Dir)
	}
	k.failing.Store(err != nil)
}
