// Package sibling detects whether another process serves the same address on this machine, as during an upgrade. The
// processes share a directory and hold locks on files in it, which the kernel releases when the process ends and not
// before; no socket is opened.
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
	// LockFiles is the number of descriptors that a Watcher holds at most.
	LockFiles = 3
	// pollInterval is how often the locks are checked.
	pollInterval = 50 * time.Millisecond
	// handoverTimeout is how long a new process waits for the leader to reduce its share of the machine's resources.
	handoverTimeout = 2500 * time.Millisecond
	// fileMode keeps other users from holding the locks.
	fileMode = 0o600
)

// Watcher watches for another process at the same address. The process that was first holds the leader lock, the other
// one the follower lock. While the leader has reduced its share for a follower, it also holds the shareReduced lock.
type Watcher struct {
	log          *slog.Logger
	onChange     func(present bool) // returns once this process has adapted its share
	leader       *flock.Flock
	follower     *flock.Flock
	shareReduced *flock.Flock
	present      bool
}

// Open checks whether another process serves an address, and calls onChange with the result, now and from Run whenever it
// changes. If that can't be determined, another process is assumed. dir must be the same directory for both processes.
func Open(dir, addr string, log *slog.Logger, onChange func(present bool)) *Watcher {
	name := filepath.Join(dir, "masthill-"+strings.NewReplacer(":", "-", "/", "-").Replace(addr))
	lock := func(suffix string) *flock.Flock { return flock.New(name+suffix, flock.SetPermissions(fileMode)) }
	w := &Watcher{log: log, onChange: onChange, leader: lock(".leader"), follower: lock(".second"), shareReduced: lock(".room")}
	w.present = !w.tryLock(w.leader)
	if w.present {
		w.waitForLeader()
	}
	onChange(w.present)
	return w
}

// tryLock tries to acquire a lock, and reports whether this process holds it.
func (w *Watcher) tryLock(lock *flock.Flock) bool {
	held, err := lock.TryLock()
	if err != nil {
		w.log.Warn("cannot detect other processes", "reason", "no_lock", "path", lock.Path(), "err", err)
	}
	return held
}

// heldByOther reports whether another process holds a lock, or may hold it because locking failed.
func (w *Watcher) heldByOther(lock *flock.Flock) bool {
	if !w.tryLock(lock) {
		return true
	}
	lock.Unlock()
	return false
}

// waitForLeader acquires the follower lock and waits until the leader has reduced its share, or for handoverTimeout.
func (w *Watcher) waitForLeader() {
	for deadline := time.Now().Add(handoverTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if w.tryLock(w.follower) && w.heldByOther(w.shareReduced) {
			return
		}
	}
}

// Close releases the locks before the process ends. It must not be called while Run runs.
func (w *Watcher) Close() {
	w.leader.Close()
	w.follower.Close()
	w.shareReduced.Close()
}

// Run checks for changes until ctx ends. It keeps the locks after that, so that they are free only once the process has
// ended.
func (w *Watcher) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			w.poll()
		}
	}
}

// poll acquires the leader lock if it is free. In the leader, it calls onChange when a follower appears or disappears.
func (w *Watcher) poll() {
	if !w.leader.Locked() && !w.tryLock(w.leader) {
		w.tryLock(w.follower)
		return
	}
	if w.follower.Locked() { // this process was the follower
		w.follower.Unlock()
	}
	if present := w.heldByOther(w.follower); present != w.present {
		w.present = present
		w.onChange(present)
	}
	if w.present {
		w.tryLock(w.shareReduced)
	} else {
		w.shareReduced.Unlock()
	}
}
