package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"masthill/control/rollout"
	"masthill/internal/config"
	"masthill/internal/netcase"
)

func newSpec(t *testing.T) *Spec {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "f.toml")
	for name, text := range map[string]string{"p.json": "{}", "f.toml": "name = \"h\"\ndir = \"run\"\ninstances = 1\nlisten = \"127.0.0.1:0\"\nplatform = \"p.json\"\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	spec, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	return spec
}

// A process that locks its folder and ends before it has written its PID must not count as running for ever.
func TestExitBeforePIDIsWritten(t *testing.T) {
	spec := newSpec(t)
	s, err := New(spec, "/nowhere", netcase.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(spec, "/nowhere", netcase.DiscardLogger()); !errors.Is(err, ErrRunning) {
		t.Error("a second supervisor", err)
	}
	m := s.members[0]
	lock, err := os.Create(filepath.Join(m.dir, lockFile))
	if err != nil || syscall.Flock(int(lock.Fd()), syscall.LOCK_EX) != nil {
		t.Fatal(err)
	}
	if !m.adopt(t.Context()) || m.phase != rollout.Starting {
		t.Fatal(m.phase)
	}
	if m.poll(); m.phase != rollout.Starting {
		t.Error("the process still holds the lock", m.phase)
	}
	lock.Close()
	if m.poll(); m.phase != rollout.Down {
		t.Error("the process has ended", m.phase)
	}
	s.lock.Close()
}

// A claim succeeds although a supervisor checks the lock at that moment; it fails if another instance holds the lock.
func TestClaimDuringLockCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), lockFile)
	open := func() int {
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { f.Close() })
		return int(f.Fd())
	}
	observer := open()
	if err := syscall.Flock(observer, syscall.LOCK_SH); err != nil {
		t.Fatal(err)
	}
	tries := 0
	contended := func(error, time.Duration) {
		tries++
		syscall.Flock(observer, syscall.LOCK_UN)
	}
	if err := lockFolder(open(), contended); err != nil || tries != 1 {
		t.Errorf("%v after %d failed tries", err, tries)
	}
	if err := lockFolder(open(), nil); !errors.Is(err, ErrClaimed) {
		t.Error("a second instance", err)
	}
}

// A supervisor that can't open its control socket starts no instance and returns an error.
func TestNoControlSocket(t *testing.T) {
	spec := newSpec(t)
	s, err := New(spec, "/nowhere", netcase.DiscardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(spec.Socket(), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := s.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Error(err)
	}
	if s.members[0].phase != rollout.Down {
		t.Error("an instance was started")
	}
}

func TestFaultsOfFleetFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.toml")
	os.WriteFile(file, []byte("name = \"h\"\ndir = \"run\"\ninstances = 3\nlisten = \"127.0.0.1:65534\"\nplatform = \"none.json\"\n"), 0o600)
	_, err := Load(file)
	if got := config.AllFaults(err); len(got) != 2 || !strings.Contains(err.Error(), "f.toml:4: listen") || !strings.Contains(err.Error(), "f.toml:5: platform") {
		t.Error(err)
	}
	os.WriteFile(file, []byte("instances = 0\n"), 0o600)
	if _, err := Load(file); len(config.AllFaults(err)) != 5 { // the number of instances, and four missing keys
		t.Error(err)
	}
}
