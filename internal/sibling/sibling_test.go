package sibling

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masthill/internal/netcase"
)

// process represents a process with a running Watcher.
type process struct {
	present chan bool
	stop    func()
}

func startProcess(t *testing.T, dir, addr string) *process {
	t.Helper()
	p := &process{present: make(chan bool, 100)}
	w := Open(dir, addr, netcase.DiscardLogger(), func(present bool) { p.present <- present })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	p.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		w.Close()
	}
	return p
}

// waitFor waits until the watcher reports the given result.
func (p *process) waitFor(t *testing.T, present bool) {
	t.Helper()
	for got := range p.present {
		if got == present {
			return
		}
	}
}

// In two upgrades one after the other, each process detects that the other one starts and ends, whichever of them was
// first.
func TestProcessesDetectEachOther(t *testing.T) {
	dir, addr := t.TempDir(), netcase.Listen(t).Addr().String()
	first := startProcess(t, dir, addr)
	if <-first.present {
		t.Error("the first process reports another one")
	}
	second := startProcess(t, dir, addr)
	if !<-second.present {
		t.Error("the second process does not detect the first")
	}
	first.waitFor(t, true)
	first.stop()
	second.waitFor(t, false)
	third := startProcess(t, dir, addr)
	third.waitFor(t, true)
	second.waitFor(t, true)
	third.stop()
	second.waitFor(t, false)
	second.stop()
}

// Processes at different addresses do not detect each other.
func TestDifferentAddresses(t *testing.T) {
	dir := t.TempDir()
	first := startProcess(t, dir, netcase.Listen(t).Addr().String())
	defer first.stop()
	second := startProcess(t, dir, netcase.Listen(t).Addr().String())
	defer second.stop()
	if <-first.present || <-second.present {
		t.Error("a process detects one at another address")
	}
}

// The platform allows no listening socket but the one that it assigns: a Watcher holds no socket, and no more files than
// LockFiles.
func TestNoSocketIsOpened(t *testing.T) {
	before := descriptors(t)
	dir := t.TempDir()
	first := Open(dir, "127.0.0.1:1", netcase.DiscardLogger(), func(bool) {})
	defer first.Close()
	second := Open(dir, "127.0.0.1:1", netcase.DiscardLogger(), func(bool) {}) // waits until the timeout, as the first one's Run does not run
	defer second.Close()
	first.poll()
	second.poll()
	opened := 0
	for name, target := range descriptors(t) {
		if before[name] == target || !strings.HasPrefix(target, dir) && !strings.HasPrefix(target, "socket:") {
			continue
		}
		opened++
		if strings.HasPrefix(target, "socket:") {
			t.Errorf("descriptor %s is a socket", name)
		}
	}
	if opened < 2 || opened > 2*LockFiles {
		t.Errorf("%d descriptors for two watchers", opened)
	}
}

// descriptors returns the targets of this process's open descriptors by number.
func descriptors(t *testing.T) map[string]string {
	const list = "/proc/self/fd"
	entries, err := os.ReadDir(list)
	if err != nil {
		t.Fatal(err)
	}
	open := map[string]string{}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(list, e.Name())); err == nil {
			open[e.Name()] = target
		}
	}
	return open
}

// Open returns in the second process only once the first has reduced its share.
func TestFollowerWaitsForRoom(t *testing.T) {
	dir, addr := t.TempDir(), netcase.Listen(t).Addr().String()
	shareReduced := make(chan bool)
	w := Open(dir, addr, netcase.DiscardLogger(), func(present bool) {
		if present {
			<-shareReduced
		}
	})
	ran := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ran <- w.Run(ctx) }()
	defer func() {
		cancel()
		<-ran
		w.Close()
	}()
	opened := make(chan bool)
	go func() {
		second := Open(dir, addr, netcase.DiscardLogger(), func(bool) {})
		defer second.Close()
		close(opened)
	}()
	select {
	case <-opened:
		t.Error("the second process did not wait for the first to reduce its share")
	case shareReduced <- true:
	}
	<-opened
}
