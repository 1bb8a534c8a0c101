package office

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"masthill/control"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
)

const (
	// minRedialDelay and maxRedialDelay bound the delay between two connects that no attempt waits for, so that the
	// fleet does not flood a dead office with connects. A waiting attempt connects at once.
	minRedialDelay, maxRedialDelay = 200 * time.Millisecond, 3 * time.Second
	// presencePollInterval is how often the presence of a client with unread input is checked again.
	presencePollInterval = 2 * time.Millisecond
)

// link holds the connections to one office on the list, and what waits to be sent there.
type link struct {
	pool            *Pool
	server          uint64
	addr            string
	cancel          context.CancelFunc // ends run
	sessions        context.Context    // of the connections, which may outlast run
	endSessions     context.CancelFunc
	wakeup          chan struct{} // wakes run: an attempt waits, or the current session was found stale
	current         *session
	previous        *session // the replaced one, as long as attempts are outstanding on it
	waiting         []exchange.Attempt
	pendingReleases []release
	forceConnect    bool // connect even if nothing waits to be sent, to learn whether the office is there
	liveness        liveness
	probe           *time.Timer // starts the next connect that may prove the server dead; nil: none is scheduled
}

// release is a request to the office to release a call.
type release struct {
	id  string
	n   int       // of the attempt that established the call
	cut bool      // before its regular end
	at  time.Time // when it was sent
}

// connectedBefore tells whether the current connection was opened before start, and so leads to a process older than
// the one that started then. The list reports a start with a delay: a newer connection already leads to the new
// process, with set-ups outstanding on it, and must be kept.
func (l *link) connectedBefore(start int64) bool {
	return l.current != nil && l.current.connectedAt.UnixNano() < start
}

// unconfirmedReleases returns the releases that wait for a connection, and those that were sent and may not have arrived if the
// connections end now.
func (l *link) unconfirmedReleases() []release {
	all := slices.Clone(l.pendingReleases)
	for _, s := range []*session{l.previous, l.current} {
		if s != nil {
			all = append(all, s.lostReleases()...)
		}
	}
	return all[:min(len(all), maxPendingReleases)]
}

// failWaiting ends all attempts that wait for a connection with the given outcome. They were never sent.
func (l *link) failWaiting(o control.Outcome) {
	for _, a := range l.waiting {
		l.pool.Core.Ended(l.server, a.ID, a.Index, exchange.Result{Outcome: o})
	}
	l.waiting = nil
}

func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// run keeps the link connected. It redials at once when an attempt waits, else at growing intervals, also where an
// office accepts connections only to close them.
func (l *link) run(ctx context.Context) {
	pause := minRedialDelay
	waitToRedial := func() {
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-l.wakeup:
		case <-timer.C:
		}
		pause = min(2*pause, maxRedialDelay)
	}
	var latest *session
	for ctx.Err() == nil {
		if latest.hasEnded() {
			if time.Since(latest.connectedAt) > maxRedialDelay {
				pause = minRedialDelay
			}
			latest = nil
			waitToRedial()
			continue
		}
		if s := l.usableSession(); s != nil {
			select {
			case <-ctx.Done():
			case <-l.wakeup:
			case <-s.done:
			}
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, l.pool.ConnectTimeout)
		peer, err := l.pool.dial(dialCtx, l.addr)
		cancel()
		if err != nil {
			l.onConnectFailure(err)
			waitToRedial()
			continue
		}
		s := newSession(l, peer)
		latest = s
		l.pool.onConnected(s)
		sessionCtx := l.sessions
		if ctx.Err() != nil { // the link was dropped meanwhile
			sessionCtx = ctx
		}
		l.pool.group.Go(func() error { return s.serve(sessionCtx) })
	}
}

// usableSession returns the current session, or nil if a new connection is needed. If the session is not stale,
// it also sends what waits for a connection.
func (l *link) usableSession() *session {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.current == nil || l.current.stale && (len(l.waiting) > 0 || l.forceConnect) {
		return nil
	}
	if !l.current.stale {
		l.flush(l.current)
	}
	return l.current
}

// flush sends all that waited for a connection.
func (l *link) flush(s *session) {
	for _, r := range l.pendingReleases {
		s.release(r)
	}
	waiting := l.waiting
	l.waiting, l.pendingReleases, l.forceConnect = nil, nil, false
	for _, a := range waiting {
		l.sendWaiting(s, a)
	}
}

// sendWaiting sends an attempt that waited for a connection. It ends the attempt if the client has left meanwhile, and
// keeps it waiting while the client has unread input, or a duplicate of the previous answer to the call may still
// arrive.
func (l *link) sendWaiting(s *session, a exchange.Attempt) {
	presence := exchange.Connected
	if a.Presence != nil {
		presence = a.Presence()
	}
	wait := s.duplicateWait(a.ID)
	if presence == exchange.InputPending {
		wait = max(wait, presencePollInterval)
	}
	switch {
	case presence == exchange.Gone: // the attempt was never sent
		l.pool.Core.Ended(l.server, a.ID, a.Index, exchange.Result{Outcome: control.ConnectionRefused})
	case wait > 0:
		l.waiting = append(l.waiting, a)
		time.AfterFunc(wait, l.wake)
	default:
		s.invite(a)
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (Peer, error) {
	scheme, _, ok := strings.Cut(addr, "://")
	if !ok {
		scheme = ""
	}
	dial := p.Dialers[scheme]
	if dial == nil {
		return nil, errors.New("no protocol for address " + addr)
	}
	return dial(ctx, addr)
}

// onConnectFailure handles a failed connect. liveness.dead decides whether it proves that the server's process, and all
// calls there, have ended; if not, a connect is scheduled for the moment at which it may prove it.
func (l *link) onConnectFailure(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if descriptors.Exhausted(err) || errors.Is(err, descriptors.ErrShareExhausted) {
		l.onNoDescriptor(err)
		return
	}
	now := time.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	l.pool.mu.Lock()
	l.failWaiting(control.ConnectionRefused)
	l.liveness.recordConnectFailure(now, refused, l.current != nil)
	dead := l.liveness.dead(now, l.current != nil, l.pool.ListLive())
	switch s := l.current; {
	case s == nil:
	case refused: // the machine is up and would reset the open connection if the process had ended
		s.lastRefused, s.stale, l.forceConnect = now, false, false
	default:
		l.forceConnect = s.stale // retried until a new connection is up or something is received on the current one
	}
	if dead {
		l.cancelProbe()
	} else {
		l.scheduleProbe(now)
	}
	l.pool.mu.Unlock()
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "gone", dead, "err", err)
	if dead {
		l.pool.Core.ServerLost(l.server)
	}
}

// onNoDescriptor handles a connect for which this process had no file descriptor. It proves nothing about the server.
func (l *link) onNoDescriptor(err error) {
	l.pool.mu.Lock()
	l.failWaiting(control.ConnectionRefused)
	l.pool.mu.Unlock()
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "gone", false, "err", err)
}

// scheduleProbe schedules the connect that may prove the server dead. It is independent of the growing delay between
// redials, as the calls of clients must be released within a fixed time. Called with the lock held.
func (l *link) scheduleProbe(now time.Time) {
	l.cancelProbe()
	wait := l.liveness.nextProbeAt(l.current != nil).Sub(now)
	l.probe = time.AfterFunc(max(wait, listPollInterval), l.runProbe)
}

func (l *link) cancelProbe() {
	if l.probe != nil {
		l.probe.Stop()
		l.probe = nil
	}
}

// runProbe makes run open a connection, or schedules the probe again if a failed connect would not yet prove the server
// dead, for example while the server list is up to date and would report its end.
func (l *link) runProbe() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := time.Now()
	switch {
	case l.probe == nil || l.pool.links[l.server] != l:
	case !l.liveness.failing(): // a connection came up, or something was received, since then
	case !l.liveness.dead(now, l.current != nil, l.pool.ListLive()):
		l.scheduleProbe(now)
	default:
		if l.current != nil {
			l.current.stale = true
		}
		l.forceConnect = true
		l.wake()
	}
}

// onConnected makes a new connection the current one. The previous one stays as long as attempts are outstanding on it,
// as it may only be slow. It is known to be dead once the office has accepted a later attempt over the new one, as an
// office handles set-ups in order, or once a report has arrived over the new one only, as offices send reports on all
// connections.
func (p *Pool) onConnected(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := s.current
	s.current = s
	s.liveness.recordConnected(s.connectedAt)
	s.cancelProbe()
	if s.previous != nil {
		s.previous.peer.Close()
	}
	if s.previous = old; old != nil {
		old.closeIfUnused()
	}
	s.flush(s)
	p.Log.Debug("office connected", "server", s.server, "addr", s.addr)
}
