// Package office is the client side: it holds lasting connections to the offices on the list, sends them the
// attempts of the exchange, and turns what they say into outcomes and reports.
package office

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/internal/sip"
)

const (
	// redialFirst and redialMost bound the wait between two connects that nothing but the list asks for, lest
	// a dead office see a connect storm from the fleet. An attempt connects at once.
	redialFirst, redialMost = 200 * time.Millisecond, 3 * time.Second
	// waitingMost bounds the attempts that wait for one connect, byesMost the releases.
	waitingMost, byesMost = 256, 256
	// writeFor is the deadline of a write to an office: with the connect time it stays well inside the second
	// in which a draining office may still get an attempt.
	writeFor = 300 * time.Millisecond
	// wholeFor is how long an answer may take from its first byte to its last: many times what the network takes,
	// and short against the time in which a call wants to stand.
	wholeFor = 300 * time.Millisecond
	// silentFor is how long a connection must have been silent for a connect that does not come up to prove
	// that the machine has vanished: several of the reports that offices send unasked. Callers want the
	// release within 8 s of the end of their calls.
	silentFor = 3500 * time.Millisecond
	// muteFor is how long a connection may bring nothing at all after an attempt went out on it: set-ups take a
	// fraction of that, and reports come beside them. New attempts then go over another connection. Every muteEvery
	// that is looked at while attempts are out.
	muteFor, muteEvery = 250 * time.Millisecond, 50 * time.Millisecond
	// copyFor is how long after an answer a copy of it may still come: it names its call and no attempt, and would end
	// the next one that is out on the same connection. That long the next one waits, of answersMost calls at most.
	copyFor, answersMost = 50 * time.Millisecond, 1024
	// byeFor is how long ago a release may have been sent on a connection that ended to be sent again on the next: it may
	// have been lost on its way, and a call that is released twice is released.
	byeFor = time.Second
)

// Core is what this side tells the exchange.
type Core interface {
	Stood(server uint64, id string, n int, desc []byte)
	Ended(server uint64, id string, n int, e exchange.Ending)
	Released(server uint64, id string, cut bool, report []float64)
	State(server uint64, report []float64)
	Lost(server uint64)
}

// Peer is one open connection to an office, in whatever form the office speaks. Its sends never block.
type Peer interface {
	Invite(a exchange.Attempt)
	Cancel(id string, n int)
	Bye(id string, n int, cut bool)
	Close()
	// Run reads until the connection ends; what it hears goes to h.
	Run(ctx context.Context, h Hearer) (sip.Reason, error)
}

// Hearer takes what a peer hears.
type Hearer interface {
	Stood(id string, desc []byte)
	Ended(id string, e exchange.Ending)
	Released(id string, cut bool, report []float64)
	State(report []float64)
}

// Dial opens a connection to an office's address.
type Dial func(ctx context.Context, addr string) (Peer, error)

// Options is what a Pool is made from.
type Options struct {
	Core        Core
	Log         *slog.Logger
	ConnectWait time.Duration   // a connection not up by then is refused
	Dials       map[string]Dial // by scheme; "" for an address without one
	Listed      func() bool     // whether the list of offices is heard: what it would tell of has not happened
}

// Pool holds the links to all offices on the list.
type Pool struct {
	Options
	mu    sync.Mutex
	links map[uint64]*link
	ctx   context.Context // of Run; nil before
	group *errgroup.Group
}

// link is one office on the list and the connections to it.
type link struct {
	pool    *Pool
	server  uint64
	addr    string
	cancel  context.CancelFunc
	kick    chan struct{} // an attempt waits, or the session has gone
	cur     *session
	prev    *session // the one before, while attempts are out on it
	waiting []exchange.Attempt
	byes    []bye
	check   bool // calls stand there and nothing is heard: a connect will tell
	silence silence
	probe   *time.Timer // the next connect that may prove the server dead; nil: none is due
}

type bye struct {
	id  string
	n   int
	cut bool
	at  time.Time // when it was sent
}

// session is one connection of a link, with the attempts out on it, by call. An office's answer names its call and
// no attempt (PROTOCOL: the Call-ID and the method of CSeq), so it ends the one that is out.
type session struct {
	*link
	peer     Peer
	out      map[string]sent
	began    time.Time
	ended    chan struct{}
	heard    time.Time
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

// NewPool makes a pool; Run starts it.
func NewPool(o Options) *Pool {
	if o.Listed == nil {
		o.Listed = func() bool { return true }
	}
	return &Pool{Options: o, links: map[uint64]*link{}}
}

// Run serves the links until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.ctx, p.group = ctx, g
	for _, l := range p.links {
		p.start(l)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.ctx = nil // no link starts from here on
	p.mu.Unlock()
	return g.Wait()
}

func (p *Pool) start(l *link) {
	ctx, cancel := context.WithCancel(p.ctx)
	l.cancel = cancel
	p.group.Go(func() error { l.run(ctx); return nil })
}

// List takes a change of the list. An office at a new address or with a new processor gets a new connection;
// one that drains keeps its own, as calls stand there.
func (p *Pool) List(changed []exchange.Office, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	on := map[uint64]bool{}
	for _, o := range changed {
		on[o.Server] = o.State != control.Out
		l := p.links[o.Server]
		if l != nil && (o.State == control.Out || o.Addr != l.addr || l.olderThan(o.ReadyAt)) {
			p.drop(l)
			l = nil
		}
		if l == nil && o.State == control.In {
			l = &link{pool: p, server: o.Server, addr: o.Addr, kick: make(chan struct{}, 1)}
			p.links[o.Server] = l
			if p.ctx != nil {
				p.start(l)
			}
		}
	}
	for id, l := range p.links {
		if full && !on[id] {
			p.drop(l)
		}
	}
}

// olderThan tells whether the connection leads to a process before the one that started then. The list tells of
// a start late: a connection that is newer already leads to the new process, and set-ups are out on it.
func (l *link) olderThan(start int64) bool { return l.cur != nil && l.cur.began.UnixNano() < start }

func (p *Pool) drop(l *link) {
	delete(p.links, l.server)
	l.cancelProbe()
	if l.cancel != nil {
		l.cancel()
	}
	l.fail(control.RefusedConn)
}

// fail ends all attempts that wait for a connection: they never ran.
func (l *link) fail(o control.Outcome) {
	for _, a := range l.waiting {
		l.pool.Core.Ended(l.server, a.ID, a.N, exchange.Ending{Outcome: o})
	}
	l.waiting = nil
}

// Invite sends an attempt, over a new connection if need be.
func (p *Pool) Invite(a exchange.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[a.Server]
	switch {
	case l == nil || len(l.waiting) >= waitingMost:
		p.Core.Ended(a.Server, a.ID, a.N, exchange.Ending{Outcome: control.RefusedConn})
	case l.cur != nil && !l.cur.stale && l.cur.copies(a.ID) <= 0:
		l.cur.invite(a)
	default:
		l.waiting = append(l.waiting, a)
		l.wake()
	}
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
	s.out[a.ID] = sent{a.N, time.Now()}
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
	for _, a := range s.out {
		if s == s.cur && s.prev == nil && !s.heard.After(a.at) && time.Since(a.at) >= muteFor && !s.stale {
			s.stale, s.check = true, true
			s.wake()
		}
	}
	time.AfterFunc(muteEvery, s.watch)
}

// spent closes a connection that has been replaced, once nothing is out on it any more.
func (s *session) spent() {
	if s == s.prev && len(s.out) == 0 {
		s.peer.Close()
	}
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Cancel gives up an attempt. One that still waits for a connection is never sent.
func (p *Pool) Cancel(server uint64, id string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	if l == nil {
		return
	}
	for k, a := range l.waiting {
		if a.ID == id && a.N == n {
			l.waiting = append(l.waiting[:k:k], l.waiting[k+1:]...)
			return
		}
	}
	for _, s := range []*session{l.cur, l.prev} {
		if s == nil {
			continue
		}
		if a, ok := s.out[id]; ok && a.n == n {
			delete(s.out, id)
			s.peer.Cancel(id, n)
			s.spent()
		}
	}
}

// Bye releases a call at its office, on any connection; without one, on the next.
func (p *Pool) Bye(server uint64, id string, n int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	switch {
	case l == nil:
	case l.cur != nil:
		l.cur.bye(bye{id: id, n: n, cut: cut})
	case len(l.byes) < byesMost:
		l.byes = append(l.byes, bye{id: id, n: n, cut: cut})
	}
}

// Suspect is told of an office from which something was due since that time. A connection on which nothing at
// all was heard since then may lead to a machine that has vanished: it stays open and silent for ever, also
// when the machine is back. With check, a new connection is tried even if nothing waits to be sent.
func (p *Pool) Suspect(server uint64, since time.Time, check bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[server]; l != nil && l.cur != nil && l.cur.heard.Before(since) && l.cur.asked.Before(since) {
		l.cur.stale, l.check = true, l.check || check
		l.wake()
	}
}

// run keeps the link connected: at once when an attempt waits, else at growing intervals, also where an office
// takes connections only to end them.
func (l *link) run(ctx context.Context) {
	pause := redialFirst
	rest := func() {
		wait := time.NewTimer(pause/2 + rand.N(pause/2))
		defer wait.Stop()
		select {
		case <-ctx.Done():
		case <-l.kick:
		case <-wait.C:
		}
		pause = min(2*pause, redialMost)
	}
	var latest *session
	for ctx.Err() == nil {
		if latest.hasEnded() {
			if time.Since(latest.began) > redialMost {
				pause = redialFirst
			}
			latest = nil
			rest()
			continue
		}
		if s := l.useful(); s != nil {
			select {
			case <-ctx.Done():
			case <-l.kick:
			case <-s.ended:
			}
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, l.pool.ConnectWait)
		peer, err := l.pool.dial(dialCtx, l.addr)
		cancel()
		if err != nil {
			l.down(err)
			rest()
			continue
		}
		s := newSession(l, peer)
		latest = s
		l.pool.up(s)
		l.pool.group.Go(func() error { return s.serve(ctx) })
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

// useful gives the session in use, or nil where a new connection is wanted. One that spoke again after it had
// been stale gets what waited.
func (l *link) useful() *session {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.cur == nil || l.cur.stale && (len(l.waiting) > 0 || l.check) {
		return nil
	}
	if !l.cur.stale {
		l.flush(l.cur)
	}
	return l.cur
}

// flush sends what waited for a connection.
func (l *link) flush(s *session) {
	for _, b := range l.byes {
		s.bye(b)
	}
	var later []exchange.Attempt
	for _, a := range l.waiting {
		if wait := s.copies(a.ID); wait > 0 {
			later = append(later, a)
			time.AfterFunc(wait, l.wake)
			continue
		}
		s.invite(a)
	}
	l.waiting, l.byes, l.check = later, nil, false
}

func (p *Pool) dial(ctx context.Context, addr string) (Peer, error) {
	scheme, _, ok := strings.Cut(addr, "://")
	if !ok {
		scheme = ""
	}
	dial := p.Dials[scheme]
	if dial == nil {
		return nil, errors.New("no way to speak to " + addr)
	}
	return dial(ctx, addr)
}

// down takes a connect that failed. What it proves of the calls there is decided by silence.dead; where it proves nothing
// yet, the next connect comes when it may.
func (l *link) down(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := time.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	l.pool.mu.Lock()
	l.fail(control.RefusedConn)
	l.silence.connectFailed(now, refused, l.cur != nil)
	dead := l.silence.dead(now, l.cur != nil, l.pool.Listed())
	switch s := l.cur; {
	case s == nil:
	case refused: // the machine is there; whether the process is, a connection that was ever heard would tell
		s.asked, s.stale, l.check = now, false, false
	default:
		l.check = s.stale // tried again until one of the two connections speaks
	}
	if dead {
		l.cancelProbe()
	} else {
		l.probeAt(now)
	}
	l.pool.mu.Unlock()
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "gone", dead, "err", err)
	if dead {
		l.pool.Core.Lost(l.server)
	}
}

// probeAt arranges for the connect that may prove the server dead. It does not wait for the growing pause between
// connects, as clients are owed the release of their calls in a fixed time. Called under the lock.
func (l *link) probeAt(now time.Time) {
	l.cancelProbe()
	wait := l.silence.nextProbe(l.cur != nil).Sub(now)
	l.probe = time.AfterFunc(max(wait, listStep), l.probeNow)
}

func (l *link) cancelProbe() {
	if l.probe != nil {
		l.probe.Stop()
		l.probe = nil
	}
}

// probeNow connects, or waits on while the server list would tell of the server's end.
func (l *link) probeNow() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := time.Now()
	switch {
	case l.probe == nil || l.pool.links[l.server] != l:
	case !l.silence.failing(): // a connection came up or spoke since
	case !l.silence.dead(now, l.cur != nil, l.pool.Listed()):
		l.probeAt(now)
	default:
		if l.cur != nil {
			l.cur.stale = true
		}
		l.check = true
		l.wake()
	}
}

// up takes a new connection into use. The one before stays as long as attempts are out on it: it may only be slow.
// Once a later attempt stands over the new one it is known to be dead, as a processor takes set-ups in turn; and
// once a report came over the new one alone, as offices send those on all connections.
func (p *Pool) up(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := s.cur
	s.cur = s
	s.silence.connected(s.began)
	s.cancelProbe()
	if s.prev != nil {
		s.prev.peer.Close()
	}
	if s.prev = old; old != nil {
		old.spent()
	}
	s.flush(s)
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
		p.Core.Ended(s.server, id, a.n, exchange.Ending{Outcome: control.Severed})
	}
	// A reset alone tells nothing of the calls: connections are reset on their way too, new, idle or in use. A
	// process that died refuses what comes next, and the list tells of one that started; only a machine that had
	// vanished and is back resets what was silent.
	if reason == sip.PeerReset && silent {
		p.Core.Lost(s.server)
	}
	return nil
}

// hear notes that the office speaks; it gives the attempt of the call that was out on this connection, -1 for
// none.
func (s *session) hear(id string) int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.heard = time.Now()
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
	s.note(id)
	s.spent()
	return a.n
}

// outlive ends the connection before, where it is still silent: what came over this one was due there too.
func (s *session) outlive() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if old := s.prev; old != nil && old != s && old.stale && old.heard.Before(s.began) {
		old.peer.Close()
	}
}

// Stood implements Hearer. An answer to an attempt that has ended goes on all the same: the exchange releases
// what nobody waits for.
func (s *session) Stood(id string, desc []byte) {
	n := s.hear(id)
	if n >= 0 {
		s.outlive()
	}
	s.pool.Core.Stood(s.server, id, n, desc)
}

// Ended implements Hearer.
func (s *session) Ended(id string, e exchange.Ending) {
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
