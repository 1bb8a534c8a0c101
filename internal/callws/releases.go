package callws

import (
	"slices"
	"time"
)

const (
	// releaseTimeout is how long the release of a call is kept for its caller.
	releaseTimeout = 30 * time.Second
	// confirmTimeout is how long a socket may take to show that a release was read before another one is tried: half of
	// the second that the protocol allows.
	confirmTimeout = 500 * time.Millisecond
)

// release is the release of an accepted call. It is kept until its caller has read it, as what was queued for a socket is
// lost if the socket fails, or until it expires.
type release struct {
	key, identity string
	message       reply
	createdAt     time.Time
	attempts      int       // how often it was sent
	tried         []*socket // the open sockets that it was sent on
	current       *socket   // the one of these that it was last sent on; nil: it waits for a socket
	sentAt        time.Time // when it was last sent
}

// Release implements exchange.Caller. The message is sent on the call's socket, on another one of the same caller, or on
// the next one that the caller opens.
func (f *Front) Release(key string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[key]
	if c == nil {
		return
	}
	delete(f.calls, key)
	f.dropRelease(key)
	r := &release{key: key, identity: c.identity, message: releasedMessage(c.id, cut), createdAt: time.Now()}
	f.releases = append(f.releases, r)
	if c.socket.isOpen() {
		f.sendRelease(r, c.socket)
		return
	}
	f.routeRelease(r)
}

func releasedMessage(id string, cut bool) reply { return reply{Type: "released", ID: id, Cut: &cut} }

// isOpen reports whether messages can still be sent on the socket, which may be nil.
func (s *socket) isOpen() bool { return s != nil && s.front.sockets[s] && !s.closed.Load() }

// sendRelease sends a release on a socket. f.mu must be held.
func (f *Front) sendRelease(r *release, s *socket) {
	r.attempts++
	r.tried = append(r.tried, s)
	r.current, r.sentAt = s, time.Now()
	f.Log.Debug("release sent", "call", r.key, "identity", r.identity, "attempt", r.attempts, "after_ms", time.Since(r.createdAt).Milliseconds())
	s.sendConfirmed(r.message, func() { f.releaseRead(r) })
}

// routeRelease sends a release on the newest socket of its caller that it was not sent on. If there is none, it stays
// with the socket that it was last sent on, or waits for the next one. f.mu must be held.
func (f *Front) routeRelease(r *release) {
	var newest *socket
	for s := range f.sockets {
		if s.identity == r.identity && s.isOpen() && !slices.Contains(r.tried, s) && (newest == nil || s.openedAt.After(newest.openedAt)) {
			newest = s
		}
	}
	if newest != nil {
		f.sendRelease(r, newest)
	}
}

// releaseRead is called when the caller has read a release.
func (f *Front) releaseRead(r *release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Log.Debug("release read", "call", r.key, "identity", r.identity, "after_ms", time.Since(r.createdAt).Milliseconds())
	f.releases = slices.DeleteFunc(f.releases, func(other *release) bool { return other == r })
}

// dropRelease forgets the release of an earlier call, as its caller uses the id again. f.mu must be held.
func (f *Front) dropRelease(key string) {
	f.releases = slices.DeleteFunc(f.releases, func(r *release) bool { return r.key == key })
}

// resendReleases sends the releases that wait for a socket on a new one. f.mu must be held.
func (f *Front) resendReleases(s *socket) {
	for _, r := range f.releases {
		if r.current == nil && r.identity == s.identity {
			f.sendRelease(r, s)
		}
	}
}

// releaseSocketEnded sends the releases again that had not been read when their socket ended. f.mu must be held.
func (f *Front) releaseSocketEnded(s *socket) {
	for _, r := range f.releases {
		r.tried = slices.DeleteFunc(r.tried, func(tried *socket) bool { return tried == s })
		if r.current == s {
			r.current = nil
			f.routeRelease(r)
		}
	}
}

// sweepReleases drops the releases that no caller came back for, and tries another socket for those that were not read in
// time. f.mu must be held.
func (f *Front) sweepReleases() {
	f.releases = slices.DeleteFunc(f.releases, func(r *release) bool {
		if time.Since(r.createdAt) <= releaseTimeout {
			return false
		}
		f.logUndelivered(r)
		return true
	})
	for _, r := range f.releases {
		if r.current != nil && time.Since(r.sentAt) >= confirmTimeout {
			f.routeRelease(r)
		}
	}
}

// logUndelivered logs a release that is given up, unless it was sent on a socket that is still open.
func (f *Front) logUndelivered(r *release) {
	if r.current == nil {
		f.Log.Warn("release undelivered", "call", r.key, "identity", r.identity, "attempts", r.attempts, "age_ms", time.Since(r.createdAt).Milliseconds())
	}
}
