// Package sibling tells whether another process serves the same address on this machine, as in an upgrade. The processes
// share a directory and hold locks on files in it, which the kernel releases when their process ends and no sooner; no
// socket is opened.
package sibling

import (
	"context"
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"github.com/gofrs/flock"
)

const (
	// Files is how many descriptors a watch holds.
	LockFiles = 3
	// pollEvery is how often the locks are looked at.
	pollEvery = 50 * time.Millisecond
	// roomFor is how long the leader may take to make room for a new process.
	roomFor = 2500 * time.Millisecond
	// fileMode keeps other users from holding the locks.
	fileMode = 0o600
)

// Watch follows whether there is another process. The leader holds the lock of its place, the follower that of the second
// place; the leader holds the lock of the room once it has made room for the follower.
type Watcher struct {
	log     *slog.Logger
	changed func(present bool) // returns once room is made
	leader  *flock.Flock
	second  *flock.Flock
	room    *flock.Flock
	present bool
}

// Open looks whether another process serves an address, and calls changed with the answer, now and from Run whenever it
// changes. Where that can't be found out, there may be one. The directory is one that both processes see.
func Open(dir, addr string, log *slog.Logger, changed func(present bool)) *Watcher {
	name := filepath.Join(dir, "masthill-"+strings.NewReplacer(":", "-", "/", "-").Replace(addr))
	lock := func(suffix string) *flock.Flock { return flock.New(name+suffix, flock.SetPermissions(fileMode)) }
	w := &Watcher{log: log, changed: changed, leader: lock(".leader"), second: lock(".second"), room: lock(".room")}
	w.present = !w.take(w.leader)
	if w.present {
		w.awaitRoom()
	}
	changed(w.present)
	return w
}

// take tries to get a lock, and tells whether this process holds it.
func (w *Watcher) take(lock *flock.Flock) bool {
	held, err := lock.TryLock()
	if err != nil {
		w.log.Warn("other processes not noticed", "reason", "no_lock", "path", lock.Path(), "err", err)
	}
	return held
}

// taken tells whether another process holds a lock.
func (w *Watcher) taken(lock *flock.Flock) bool {
	if !w.take(lock) {
		return true
	}
	lock.Unlock()
	return false
}

// awaitRoom takes the second place and waits until the leader has made room, for a bounded time.
func (w *Watcher) awaitRoom() {
	for until := time.Now().Add(roomFor); time.Now().Before(until); time.Sleep(pollEvery) {
		if w.take(w.second) && w.taken(w.room) {
			return
		}
	}
}

// Close ends the watch before its process ends. It is not to be called while Run runs.
func (w *Watcher) Close() {
	w.leader.Close()
	w.second.Close()
	w.room.Close()
}

// Run follows changes until ctx ends. The locks are held then: what this process holds is free only when it has ended.
func (w *Watcher) Run(ctx context.Context) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			w.look()
		}
	}
}

// look takes the leader's place where it is free, and tells the leader whether there is a follower.
func (w *Watcher) look() {
	if !w.leader.Locked() && !w.take(w.leader) {
		w.take(w.second)
		return
	}
	if w.second.Locked() { // this process was the follower
		w.second.Unlock()
	}
	if present := w.taken(w.second); present != w.present {
		w.present = present
		w.changed(present)
	}
	if w.present {
		w.take(w.room)
	} else {
		w.room.Unlock()
	}
}
