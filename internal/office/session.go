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
	// muteEvery is how often connections with attempts out are looked at: one that has brought nothing for
	// answerDelay.silence is replaced.
	silenceCheckInterval = 50 * time.Millisecond
	// reportLag is how much later a report may come over one connection than over another of the same server.
	maxReportSkew = 50 * time.Millisecond
	// copyFor is how long after an answer a copy of it may still come: it names its call and no attempt, and would end
	// the next one that is out on the same connection. That long the next one waits, of answersMost calls at most.
	duplicateWindow, maxRecentAnswers = 50 * time.Millisecond, 1024
	// byeFor is how long ago a release may have been sent on a connection that ended to be sent again on the next: it may
	// have been lost on its way, and a call that is released twice is released.
	releaseResendAge = time.Second
)

// session is one connection of a link, with the attempts out on it, by call. An office's answer names its call and
// no attempt (PROTOCOL: the Call-ID and the method of CSeq), so it ends the one that is out.
type session struct {
	*link
	peer           Peer
	outstanding    map[string]sentAttempt
	connectedAt    time.Time
	done           chan struct{}
	lastHeard      time.Time
	awaitingSince  time.Time // when the first set-up went out since anything was heard; zero: none did
	lastRefused    time.Time // when a connect beside it was last refused
	stale          bool      // silent where an answer was due: new attempts go over a new connection
	watching       bool      // for that
	recentAnswers  []answer
	recentReleases []release // of late
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

// copies tells how long a copy of the last answer to a call may still come.
func (s *session) duplicateWait(id string) time.Duration {
	for k := len(s.recentAnswers) - 1; k >= 0; k-- {
		if s.recentAnswers[k].id == id {
			return duplicateWindow - time.Since(s.recentAnswers[k].at)
		}
	}
	return 0
}

// note keeps an answer that a copy may follow.
func (s *session) recordAnswer(id string) {
	now := time.Now()
	late := 0
	for late < len(s.recentAnswers) && (len(s.recentAnswers)-late >= maxRecentAnswers || now.Sub(s.recentAnswers[late].at) > duplicateWindow) {
		late++
	}
	s.recentAnswers = append(slices.Delete(s.recentAnswers, 0, late), answer{id, now})
}

// bye sends a release, and keeps it for the case that the connection ends under it.
func (s *session) release(b release) {
	b.at = time.Now()
	s.recentReleases = slices.DeleteFunc(s.recentReleases, func(old release) bool { return b.at.Sub(old.at) > releaseResendAge })
	if len(s.recentReleases) < maxPendingReleases {
		s.recentReleases = append(s.recentReleases, b)
	}
	s.peer.Bye(b.id, b.n, b.cut)
}

func (s *session) invite(a exchange.Attempt) {
	now := time.Now()
	s.outstanding[a.ID] = sentAttempt{a.Index, now}
	if s.awaitingSince.IsZero() {
		s.awaitingSince = now
	}
	s.peer.Invite(a)
	if !s.watching {
		s.watching = true
		time.AfterFunc(silenceCheckInterval, s.checkSilence)
	}
}

// watch finds a connection that has gone mute: a spoilt one stays open and serves no further use, and its attempts
// would be waited for until their time was up.
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

// mute tells whether nothing at all has come for longer than set-ups take, counted from the first one that nothing was
// heard after: the next ones would begin the silence anew, where each is called off early.
func (s *session) answerTimedOut() bool {
	return !s.awaitingSince.IsZero() && time.Since(s.awaitingSince) >= s.pool.delay.timeout()
}

// spent closes a connection that has been replaced, once nothing is out on it any more.
func (s *session) closeIfUnused() {
	if s == s.previous && len(s.outstanding) == 0 {
		s.peer.Close()
	}
}

func newSession(l *link, peer Peer) *session {
	now := time.Now()
	return &session{link: l, peer: peer, outstanding: map[string]sentAttempt{}, connectedAt: now, lastHeard: now, done: make(chan struct{})}
}

// hasEnded tells whether there was a connection and it has ended.
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
		if s.probe != nil { // it was due for a server with a connection
			s.scheduleProbe(time.Now())
		}
	}
	if s.previous == s {
		s.previous = nil
	}
	out, silent := s.outstanding, time.Since(s.lastHeard) > silentMachineTimeout && time.Since(s.lastRefused) > silentMachineTimeout
	s.outstanding = nil
	for _, b := range s.recentReleases {
		switch l := s.link; {
		case time.Since(b.at) > releaseResendAge:
		case l.current != nil:
			l.current.release(b)
		case len(l.pendingReleases) < maxPendingReleases:
			l.pendingReleases = append(l.pendingReleases, b)
		}
	}
	p.mu.Unlock()
	s.pool.Log.Info("office connection ended", "reason", reason, "server", s.server, "addr", s.addr,
		"open", len(out), "age_ms", time.Since(s.connectedAt).Milliseconds(), "err", err)
	for id, a := range out {
		p.Core.Ended(s.server, id, a.n, exchange.Result{Outcome: control.ConnectionLost})
	}
	// A reset alone tells nothing of the calls: connections are reset on their way too, new, idle or in use. A
	// process that died refuses what comes next, and the list tells of one that started; only a machine that had
	// vanished and is back resets what was silent.
	if reason == sip.PeerReset && silent {
		p.Core.ServerLost(s.server)
	}
	return nil
}

// hear notes that the office speaks; it gives the attempt of the call that was out on this connection, -1 for
// none.
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

// outlive ends the connection before, where it stays silent: what came over this one was due there too, though perhaps
// a moment later.
func (s *session) closeStalePrevious() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if old := s.previous; old != nil && old != s && old.stale && old.lastHeard.Before(s.connectedAt) {
		time.AfterFunc(maxReportSkew, func() { old.closeUnlessHeard(s.connectedAt) })
	}
}

// endUnlessHeard closes a connection that has brought nothing since.
func (s *session) closeUnlessHeard(since time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.lastHeard.Before(since) {
		s.peer.Close()
	}
}

// Stood implements Hearer. An answer to an attempt that has ended goes on all the same: the exchange releases
// what nobody waits for.
func (s *session) Accepted(id string, desc []byte) {
	n := s.onMessage(id)
	if n >= 0 {
		s.closeStalePrevious()
	}
	s.pool.Core.Accepted(s.server, id, n, desc)
}

// Ended implements Hearer.
func (s *session) Ended(id string, e exchange.Result) {
	s.pool.Core.Ended(s.server, id, s.onMessage(id), e)
}

// Released implements Hearer.
func (s *session) Released(id string, cut bool, report []float64) {
	s.onMessage("")
	s.pool.Core.Released(s.server, id, cut, report)
}

// State implements Hearer.
func (s *session) State(report []float64) {
	s.onMessage("")
	if time.Since(s.connectedAt) > silenceCheckInterval { // not the first one, which comes on a new connection alone
		s.closeStalePrevious()
	}
	if report != nil {
		s.pool.Core.State(s.server, report)
	}
}
