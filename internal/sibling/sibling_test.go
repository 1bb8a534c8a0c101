package sibling

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masthill/internal/netcase"
)

// process is one watch in a test.
type process struct {
	present chan bool
	end     func()
}

func begin(t *testing.T, dir, addr string) *process {
	t.Helper()
	p := &process{present: make(chan bool, 100)}
	w := Open(dir, addr, netcase.DiscardLogger(), func(present bool) { p.present <- present })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	p.end = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		w.Close()
	}
	return p
}

// want waits for the present answer to be that one.
func (p *process) want(t *testing.T, present bool) {
	t.Helper()
	for got := range p.present {
		if got == present {
			return
		}
	}
}

// An upgrade, and one more: each process notices that the other one comes and goes, whichever of them was first.
func TestEachNoticesTheOther(t *testing.T) {
	dir, addr := t.TempDir(), netcase.Listen(t).Addr().String()
	first := begin(t, dir, addr)
	if <-first.present {
		t.Error("not alone at first")
	}
	second := begin(t, dir, addr)
	if !<-second.present {
		t.Error("the second does not notice the first")
	}
	first.want(t, true)
	first.end()
	second.want(t, false)
	third := begin(t, dir, addr)
	third.want(t, true)
	second.want(t, true)
	third.end()
	second.want(t, false)
	second.end()
}

// Another address is another instance.
func TestAnotherAddress(t *testing.T) {
	dir := t.TempDir()
	first := begin(t, dir, netcase.Listen(t).Addr().String())
	defer first.end()
	second := begin(t, dir, netcase.Listen(t).Addr().String())
	defer second.end()
	if <-first.present || <-second.present {
		t.Error("taken for one another")
	}
}

// The platform allows no listener but the one told: a watch holds files, no more than it says, and no socket.
func TestNoSocketIsOpened(t *testing.T) {
	before := descriptors(t)
	dir := t.TempDir()
	first := Open(dir, "127.0.0.1:1", netcase.DiscardLogger(), func(bool) {})
	defer first.Close()
	second := Open(dir, "127.0.0.1:1", netcase.DiscardLogger(), func(bool) {}) // waits in vain for room, as nothing runs
	defer second.Close()
	first.look()
	second.look()
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
		t.Errorf("%d descriptors for two watches", opened)
	}
}

// descriptors gives what this process holds open, by number.
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

// The second process starts only once the first has made room.
func TestTheSecondWaitsForRoom(t *testing.T) {
	dir, addr := t.TempDir(), netcase.Listen(t).Addr().String()
	room := make(chan bool)
	w := Open(dir, addr, netcase.DiscardLogger(), func(present bool) {
		if present {
			<-room
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
		t.Error("before there is room")
	case room <- true:
	}
	<-opened
}
