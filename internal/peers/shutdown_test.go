package peers

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// The library's goroutines outlive its Shutdown for a moment. Their events must not start goroutines that Run no longer
// waits for; the race detector reports it if they do.
func TestEventsAfterShutdownStartNoGoroutines(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	waitUntil(t, "a is running", func() bool { return a.list.Load() != nil })
	meta, err := Encode(memberInfo{Epoch: 7, StartedAt: 1})
	if err != nil {
		t.Fatal(err)
	}
	n := &memberlist.Node{Name: "b", Meta: meta}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			a.memberChanged(n, Alive)
			a.memberChanged(n, Gone)
			time.Sleep(100 * time.Microsecond)
		}
	}()
	a.stop()
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-done
}

// A name conflict is handled while the member leaves. The race detector reports fields that are read without the lock.
func TestNameConflictWhileLeaving(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	waitUntil(t, "a is running", func() bool { return a.list.Load() != nil })
	meta, err := Encode(memberInfo{Epoch: 7, StartedAt: 1})
	if err != nil {
		t.Fatal(err)
	}
	known, other := &memberlist.Node{Name: "a"}, &memberlist.Node{Name: "a", Meta: meta}
	done := make(chan struct{})
	go func() {
		defer close(done)
		(*delegate)(a.Peers).NotifyConflict(known, other)
	}()
	a.stop()
	<-done
}
