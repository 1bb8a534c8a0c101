package state

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"masthill/control"
	"masthill/control/levels"
	"masthill/internal/netcase"
)

var now = time.Unix(1_800_000_000, 0)

func snapshot() Snapshot {
	at := now.Add(-time.Second).UnixNano()
	return Snapshot{Levels: []levels.Change{{At: at, To: levels.Busy, Reason: levels.Delay}}, Instance: "n3", WrittenAt: now.Add(-time.Second), LearnedState: control.LearnedState{At: at, StartedAt: at - 1e9, Spacing: 5e7, LoadPerUnit: 3,
		Servers: []control.LearnedServer{{ID: 7, ReadyAt: 5, EstablishedSentAt: at, Delay: 4e7, Weight: 1}, {ID: 9, EstablishedSentAt: at, Down: true}}}}
}

func encoded(t *testing.T, s Snapshot) []byte {
	t.Helper()
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRejectedSnapshots(t *testing.T) {
	good := encoded(t, snapshot())
	if s, err := Decode(good, "n3", now, time.Minute); err != nil || s.LearnedState.Spacing != 5e7 || len(s.Levels) != 1 || s.Levels[0].To != levels.Busy || len(s.Evidence()) != 1 || s.Evidence()[0].Server != 7 {
		t.Fatal(s, err)
	}
	changed := func(f func(s *Snapshot)) []byte {
		s := snapshot()
		f(&s)
		return encoded(t, s)
	}
	for _, tc := range []struct {
		name string
		text []byte
		want error
	}{
		{"empty", nil, ErrDamaged},
		{"newer", append([]byte("masthill-state 2"), good[len("masthill-state 1"):]...), ErrNewerVersion},
		{"another's", changed(func(s *Snapshot) { s.Instance = "n4" }), ErrOtherInstance},
		{"old", changed(func(s *Snapshot) { s.WrittenAt = now.Add(-2 * time.Minute) }), ErrTooOld},
		{"the clock went back", changed(func(s *Snapshot) { s.WrittenAt = now.Add(time.Hour) }), ErrFutureTime},
		{"negative", changed(func(s *Snapshot) { s.LearnedState.Servers[0].Delay = -1 }), ErrInvalid},
		{"a time to come", changed(func(s *Snapshot) { s.LearnedState.Servers[0].DelayAt = now.UnixNano() + 1 }), ErrInvalid},
		{"out of order", changed(func(s *Snapshot) { s.LearnedState.Servers[1].ID = 7 }), ErrInvalid},
	} {
		if _, err := Decode(tc.text, "n3", now, time.Minute); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

// A file that is truncated anywhere, or has any bit flipped, is rejected.
func TestDamage(t *testing.T) {
	good := encoded(t, snapshot())
	for n := range good {
		if _, err := Decode(good[:n], "n3", now, time.Minute); err == nil {
			t.Fatalf("truncated at byte %d it is accepted", n)
		}
		for bit := range 8 {
			bad := append([]byte{}, good...)
			bad[n] ^= 1 << bit
			if _, err := Decode(bad, "n3", now, time.Minute); err == nil {
				t.Fatalf("with bit %d of byte %d flipped it is accepted", bit, n)
			}
		}
	}
	netcase.Check(t, func(t *rapid.T) { Decode(netcase.Garbage(t, good), "n3", now, time.Minute) })
}

// A crash at any byte of a write leaves the previous file in place, as the new one replaces it only when complete.
func TestCrashWhileWriting(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	text := encoded(t, snapshot())
	if err := writeFile(path, text); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < len(text); n += 7 { // a crash leaves an incomplete temporary file
		if err := os.WriteFile(filepath.Join(dir, "."+fileName+"123"), text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(dir, "n3", now, time.Minute); err != nil {
			t.Fatal(n, err)
		}
	}
	if _, err := Load(t.TempDir(), "n3", now, time.Minute); !errors.Is(err, ErrNoSnapshot) {
		t.Error(err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Error(info.Mode())
	}
}

// On a full disk only the writes fail. A disk that hangs blocks one write, and the end waits no longer than finalTimeout.
func TestFullAndFrozenDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var full atomic.Bool
		var writes, asked atomic.Int32
		frozen := make(chan struct{})
		var freeze atomic.Bool
		w := &SnapshotWriter{Dir: "d", Instance: "n3", Interval: time.Second, Log: netcase.DiscardLogger(),
			LearnedState: func() control.LearnedState { asked.Add(1); return control.LearnedState{At: 1} },
			WriteFile: func(string, []byte) error {
				writes.Add(1)
				if freeze.Load() {
					<-frozen
				}
				if full.Load() {
					return syscall.ENOSPC
				}
				return nil
			}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { w.Run(ctx); close(ended) }()
		full.Store(true)
		time.Sleep(3500 * time.Millisecond)
		if writes.Load() != 3 || !w.failing.Load() {
			t.Errorf("%d writes", writes.Load())
		}
		full.Store(false)
		time.Sleep(time.Second)
		if w.failing.Load() {
			t.Error("snapshots still count as failing")
		}
		freeze.Store(true)
		before := writes.Load()
		time.Sleep(20 * time.Second)
		if writes.Load() != before+1 {
			t.Errorf("%d writes on a frozen disk", writes.Load()-before)
		}
		began := time.Now()
		cancel()
		<-ended
		if took := time.Since(began); took > finalTimeout {
			t.Errorf("the end took %v", took)
		}
		close(frozen)
		synctest.Wait()
	})
}
