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
	muteEvery = 50 * time.Millisecond
	// reportLag is how much later a report may come over one connection than over another of the same server.
	reportLag = 50 * time.Millisecond
	// copyFor is how long after an answer a copy of it may still come: it names its call and no attempt, and would end
	// the next one that is out on the same connection. That long the next one waits, of answersMost calls at most.
	copyFor, answersMost = 50 * time.Millisecond, 1024
	// byeFor is how long ago a release may have been sent on a connection that ended to be sent again on the next: it may
	// have been lost on its way, and a call that is released twice is released.
	byeFor = time.Second
)

// session is one connection of a link, with the attempts out on it, by call. An office's answer names its call and
// no attempt (PROTOCOL: the Call-ID and the method of CSeq), so it ends the one that is out.
type session struct {
	*link
	peer     Peer
	out      map[string]sent
	began    time.Time
	ended    chan struct{}
	heard    time.Time
	silentAt time.Time // when the first set-up went out since anything was heard; zero: none did
	asked    time.Time // when a connect beside it was last refused
	stale    bool      // silent where an answer was due: new attempts go over a new connection
	watching bool      // for that
	answered []answer
	released []bye // of late
}

// answer is when a call's attempt was answered.
type answer struct {
	id string
	at time.Time
}

type sent struct {
	n  int
	at time.Time
}

// copies tells how long a copy of the last answer to a call may still come.
func (s *session) copies(id string) time.Duration {
	for k := len(s.answered) - 1; k >= 0; k-- {
		if s.answered[k].id == id {
			return copyFor - time.Since(s.answered[k].at)
		}
	}
	return 0
}

// note keeps an answer that a copy may follow.
func (s *session) note(id string) {
	now := time.Now()
	late := 0
	for late < len(s.answered) && (len(s.answered)-late >= answersMost || now.Sub(s.answered[late].at) > copyFor) {
		late++
	}
	s.answered = append(slices.Delete(s.answered, 0, late), answer{id, now})
}

// bye sends a release, and keeps it for the case that the connection ends under it.
func (s *session) bye(b bye) {
	b.at = time.Now()
	s.released = slices.DeleteFunc(s.released, func(old bye) bool { return b.at.Sub(old.at) > byeFor })
	if len(s.released) < byesMost {
		s.released = append(s.released, b)
	}
	s.peer.Bye(b.id, b.n, b.cut)
}

func (s *session) invite(a exchange.Attempt) {
	now := time.Now()
	s.out[a.ID] = sent{a.Index, now}
	if s.silentAt.IsZero() {
		s.silentAt = now
	}
	s.peer.Invite(a)
	if !s.watching {
		s.watching = true
		time.AfterFunc(muteEvery, s.watch)
	}
}

// watch finds a connection that has gone mute: a spoilt one stays open and serves no further use, and its attempts
// would be waited for until their time was up.
func (s *session) watch() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.watching = len(s.out) > 0; !s.watching {
		return
	}
	if s == s.cur && s.prev == nil && !s.stale && s.mute() {
		s.stale, s.check = true, true
		s.wake()
	}
	time.AfterFunc(muteEvery, s.watch)
}

// mute tells whether nothing at all has come for longer than set-ups take, counted from the first one that nothing was
// heard after: the next ones would begin the silence anew, where each is called off early.
func (s *session) mute() bool {
	return !s.silentAt.IsZero() && time.Since(s.silentAt) >= s.pool.delay.silence()
}

// spent closes a connection that has been replaced, once nothing is out on it any more.
func (s *session) spent() {
	if s == s.prev && len(s.out) == 0 {
		s.peer.Close()
	}
}

func newSession(l *link, peer Peer) *session {
	now := time.Now()
	return &session{link: l, peer: peer, out: map[string]sent{}, began: now, heard: now, ended: make(chan struct{})}
}

// hasEnded tells whether there was a connection and it has ended.
func (s *session) hasEnded() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *session) serve(ctx context.Context) error {
	p := s.pool
	defer close(s.ended)
	reason, err := s.peer.Run(ctx, s)
	p.mu.Lock()
	if s.cur == s {
		s.cur = nil
		s.silence.disconnected()
		if s.probe != nil { // it was due for a server with a connection
			s.probeAt(time.Now())
		}
	}
	if s.prev == s {
		s.prev = nil
	}
	out, silent := s.out, time.Since(s.heard) > silentFor && time.Since(s.asked) > silentFor
	s.out = nil
	for _, b := range s.released {
		switch l := s.link; {
		case time.Since(b.at) > byeFor:
		case l.cur != nil:
			l.cur.bye(b)
		case len(l.byes) < byesMost:
			l.byes = append(l.byes, b)
		}
	}
	p.mu.Unlock()
	s.pool.Log.Info("office connection ended", "reason", reason, "server", s.server, "addr", s.addr,
		"open", len(out), "age_ms", time.Since(s.began).Milliseconds(), "err", err)
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
func (s *session) hear(id string) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.heard, s.silentAt = time.Now(), time.Time{}
	s.silence.heardAt(s.heard)
	if s.stale {
		s.stale, s.check = false, false
		s.wake()
	}
	a, ok := s.out[id]
	if !ok {
		return -1
	}
	delete(s.out, id)
	s.pool.delay.add(time.Since(a.at))
	s.note(id)
	s.spent()
	return a.n
}

// outlive ends the connection before, where it stays silent: what came over this one was due there too, though perhaps
// a moment later.
func (s *session) outlive() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if old := s.prev; old != nil && old != s && old.stale && old.heard.Before(s.began) {
		time.AfterFunc(reportLag, func() { old.endUnlessHeard(s.began) })
	}
}

// endUnlessHeard closes a connection that has brought nothing since.
func (s *session) endUnlessHeard(since time.Time) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if s.heard.Before(since) {
		s.peer.Close()
	}
}

// Stood implements Hearer. An answer to an attempt that has ended goes on all the same: the exchange releases
// what nobody waits for.
func (s *session) Accepted(id string, desc []byte) {
	n := s.hear(id)
	if n >= 0 {
		s.outlive()
	}
	s.pool.Core.Accepted(s.server, id, n, desc)
}

// Ended implements Hearer.
func (s *session) Ended(id string, e exchange.Result) {
	s.pool.Core.Ended(s.server, id, s.hear(id), e)
}

// Released implements Hearer.
func (s *session) Released(id string, cut bool, report []float64) {
	s.hear("")
	s.pool.Core.Released(s.server, id, cut, report)
}

// State implements Hearer.
func (s *session) State(report []float64) {
	s.hear("")
	if time.Since(s.began) > muteEvery { // not the first one, which comes on a new connection alone
		s.outlive()
	}
	if report != nil {
		s.pool.Core.State(s.server, report)
	}
}
