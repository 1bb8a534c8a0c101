package office

import (
	"context"
	"slices"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// silenceCheckInterval is how often connections with outstanding attempts are checked. One on which nothing was
	// received for answerDelay.timeout is replaced.
	silenceCheckInterval = 50 * time.Millisecond
	// maxReportSkew is how much later a report may arrive over one connection than over another of the same server.
	maxReportSkew = 50 * time.Millisecond
	// duplicateWindow is how long after an answer a duplicate of it may still arrive. An answer identifies its call but no
	// attempt, so a duplicate would end the call's next attempt on the same connection. The next attempt therefore waits
	// for that long. This is tracked for at most maxRecentAnswers calls.
	duplicateWindow, maxRecentAnswers = 50 * time.Millisecond, 1024
	// releaseResendAge is the age up to which a release sent on a connection that has ended is always sent again on the
	// next one, and silentReleaseResendAge where nothing was received on the connection since. It may have been lost, and
	// releasing a call twice does no harm.
	releaseResendAge, silentReleaseResendAge = time.Second, 30 * time.Second
)

// session is one connection of a link, with the attempts outstanding on it, by call. An office's answer identifies its
// call but no attempt (PROTOCOL: the Call-ID and the method of CSeq), so it ends the attempt that is outstanding.
type session struct {
	*link
	peer           Peer
	outstanding    map[string]sentAttempt
	connectedAt    time.Time
	done           chan struct{}
	lastHeard      time.Time
	awaitingSince  time.Time // when the first set-up was sent since anything was last received; zero: none was
	lastRefused    time.Time // when another connect was last refused while this connection was open
	stale          bool      // nothing was received although something was due: new attempts go over a new connection
	watching       bool      // checkSilence is scheduled
	recentAnswers  []answer
	recentReleases []release // to be sent again if the connection ends
}

// answer is when a call's attempt was answered.
type answer struct {
	id string
	at time.Time
}

type sentAttempt struct {
	n  int
	at time.Time
}

// duplicateWait is how long a duplicate of the last answer to a call may still arrive; 0 or less: no longer.
func (s *session) duplicateWait(id string) time.Duration {
	for k := len(s.recentAnswers) - 1; k >= 0; k-- {
		if s.recentAnswers[k].id == id {
			return duplicateWindow - time.Since(s.recentAnswers[k].at)
		}
	}
	return 0
}

// recordAnswer remembers an answer, as a duplicate of it may follow.
func (s *session) recordAnswer(id string) {
	now := time.Now()
	late := 0
	for late < len(s.recentAnswers) && (len(s.recentAnswers)-late >= maxRecentAnswers || now.Sub(s.recentAnswers[late].at) > duplicateWindow) {
		late++
	}
	s.recentAnswers = append(slices.Delete(s.recentAnswers, 0, late), answer{id, now})
}

// release sends a release, and keeps it in case the connection ends before it has arrived.
func (s *session) release(r release) {
	r.at = time.Now()
	s.recentReleases = s.lostReleases()
	if len(s.recentReleases) < maxPendingReleases {
		s.recentReleases = append(s.recentReleases, r)
	}
	s.peer.Bye(r.id, r.n, r.cut)
}

// lostReleases returns the releases that may not have arrived if the connection ends now.
func (s *session) lostReleases() []release {
	return slices.DeleteFunc(slices.Clone(s.recentReleases), func(r release) bool { return !s.mayBeLost(r) })
}

// mayBeLost tells whether a release that was sent on the connection may not have arrived if the connection ends now.
func (s *session) mayBeLost(r release) bool {
	age := time.Since(r.at)
	return age <= releaseResendAge || age <= silentReleaseResendAge && !s.lastHeard.After(r.at)
}

func (s *session) invite(a exchange.Attempt) {
	if err := s.peer.Invite(a); err != nil {
		s.pool.Log.Warn("attempt not sent", "call", a.ID, "server", s.server, "err", err)
		s.pool.Core.Ended(s.server, a.ID, a.Index, exchange.Result{Outcome: control.Unavailable})
		return
	}
	now := time.Now()
	s.outstanding[a.ID] = sentAttempt{a.Index, now}
	if s.awaitingSince.IsZero() {
		s.awaitingSince = now
	}
	if !s.watching {
		s.watching = true
		time.AfterFunc(silenceCheckInterval, s.checkSilence)
	}
}

// checkSilence marks the connection stale if the office has stopped answering on it. A connection that has failed may
// stay open without carrying anything, and its attempts would otherwise run until they time out.
func (s *session) checkSilence() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.watching = len(s.outstanding) > 0; !s.watching {
		return
	}
	if s == s.current && s.previous == nil && !s.stale && s.answerTimedOut() {
		s.stale, s.forceConnect = true, true
		s.wake()
	}
	time.AfterFunc(silenceCheckInterval, s.checkSilence)
}

// answerTimedOut tells whether nothing at all was received for longer than set-ups take. The time counts from the first
// set-up that was sent since something was last received: counted from the latest one, it would start again with each
// set-up, and never expire if each is cancelled early.
func (s *session) answerTimedOut() bool {
	return !s.awaitingSince.IsZero() && time.Since(s.awaitingSince) >= s.pool.delay.timeout()
}

// closeIfUnused closes a connection that has been replaced, once no attempt is outstanding on it.
func (s *session) closeIfUnused() {
	if s == s.previous && len(s.outstanding) == 0 {
		s.peer.Close()
	}
}

func newSession(l *link, peer Peer) *session {
	now := time.Now()
	return &session{link: l, peer: peer, outstanding: map[string]sentAttempt{}, connectedAt: now, lastHeard: now, done: make(chan struct{})}
}

// hasEnded tells whether there was a connection and it has ended. The session may be nil.
func (s *session) hasEnded() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *session) serve(ctx context.Context) error {
	p := s.pool
	defer close(s.done)
	reason, err := s.peer.Run(ctx, s)
	p.mu.Lock()
	if s.current == s {
		s.current = nil
		s.liveness.recordDisconnected()
		if s.probe != nil { // it was scheduled for a server with an open connection
			s.scheduleProbe(time.Now())
		}
	}
	if s.previous == s {
		s.previous = nil
	}
	unanswered, silent := s.outstanding, time.Since(s.lastHeard) > silentMachineTimeout && time.Since(s.lastRefused) > silentMachineTimeout
	s.outstanding = nil
	for _, r := range s.lostReleases() {
		switch l := s.link; {
		case l.current != nil:
			l.current.release(r)
		case len(l.pendingReleases) < maxPendingReleases:
			l.pendingReleases = append(l.pendingReleases, r)
		}
	}
	p.mu.Unlock()
	s.pool.Log.Info("office connection ended", "reason", reason, "server", s.server, "addr", s.addr,
		"open", len(unanswered), "age_ms", time.Since(s.connectedAt).Milliseconds(), "err", err)
	for id, a := range unanswered {
		p.Core.Ended(s.server, id, a.n, exchange.Result{Outcome: control.ConnectionLost})
	}
	// A reset alone proves nothing about the calls: the network resets connections too, whether new, idle or in use. If
	// the process has died, the next connect is refused, and the list reports a process that has started. Only a reset
	// after a silence proves that the calls are gone: the machine had vanished and is back.
	if reason == sip.PeerReset && silent {
		p.Core.ServerLost(s.server)
	}
	return nil
}

// onMessage records that something was received from the office. It removes the outstanding attempt of the call, if
// any, and returns its index, or -1.
func (s *session) onMessage(id string) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.lastHeard, s.awaitingSince = time.Now(), time.Time{}
	s.liveness.recordHeard(s.lastHeard)
	if s.stale {
		s.stale, s.forceConnect = false, false
		s.wake()
	}
	a, ok := s.outstanding[id]
	if !ok {
		return -1
	}
	delete(s.outstanding, id)
	s.pool.delay.add(time.Since(a.at))
	s.recordAnswer(id)
	s.closeIfUnused()
	return a.n
}

// closeStalePrevious closes the previous connection unless something is received on it within maxReportSkew. What was
// received on this one was due there too, though perhaps a little later.
func (s *session) closeStalePrevious() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if old := s.previous; old != nil && old != s && old.stale && old.lastHeard.Before(s.connectedAt) {
		time.AfterFunc(maxReportSkew, func() { old.closeUnlessHeard(s.connectedAt) })
	}
}

// closeUnlessHeard closes the connection if nothing was received on it since then.
func (s *session) closeUnlessHeard(since time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.lastHeard.Before(since) {
		s.peer.Close()
	}
}

// Accepted implements Handler. An answer to an attempt that has already ended is passed on too, as the exchange has to
// release a call that nobody waits for.
func (s *session) Accepted(id string, desc []byte) {
	n := s.onMessage(id)
	if n >= 0 {
		s.closeStalePrevious()
	}
	s.pool.Core.Accepted(s.server, id, n, desc)
}

// Ended implements Handler.
func (s *session) Ended(id string, result exchange.Result) {
	s.pool.Core.Ended(s.server, id, s.onMessage(id), result)
}

// Released implements Handler.
func (s *session) Released(id string, cut bool, report []float64) {
	s.onMessage("")
	s.pool.Core.Released(s.server, id, cut, report)
}

// State implements Handler.
func (s *session) State(report []float64) {
	s.onMessage("")
	if time.Since(s.connectedAt) > silenceCheckInterval { // the first report comes on a new connection only
		s.closeStalePrevious()
	}
	if report != nil {
		s.pool.Core.State(s.server, report)
	}
}
