package office

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"masthill/control"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
)

const (
	// redialFirst and redialMost bound the wait between two connects that nothing but the list asks for, lest
	// a dead office see a connect storm from the fleet. An attempt connects at once.
	minRedialDelay, maxRedialDelay = 200 * time.Millisecond, 3 * time.Second
	// unheardStep is the wait until a client whose input waits to be read is asked for again.
	presencePollInterval = 2 * time.Millisecond
)

// link is one office on the list and the connections to it.
type link struct {
	pool            *Pool
	server          uint64
	addr            string
	cancel          context.CancelFunc
	wakeup          chan struct{} // an attempt waits, or the session has gone
	current         *session
	previous        *session // the one before, while attempts are out on it
	waiting         []exchange.Attempt
	pendingReleases []release
	forceConnect    bool // calls stand there and nothing is heard: a connect will tell
	liveness        liveness
	probe           *time.Timer // the next connect that may prove the server dead; nil: none is due
}

type release struct {
	id  string
	n   int
	cut bool
	at  time.Time // when it was sent
}

// olderThan tells whether the connection leads to a process before the one that started then. The list tells of
// a start late: a connection that is newer already leads to the new process, and set-ups are out on it.
func (l *link) connectedBefore(start int64) bool {
	return l.current != nil && l.current.connectedAt.UnixNano() < start
}

// fail ends all attempts that wait for a connection: they never ran.
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

// run keeps the link connected: at once when an attempt waits, else at growing intervals, also where an office
// takes connections only to end them.
func (l *link) run(ctx context.Context) {
	pause := minRedialDelay
	waitToRedial := func() {
		wait := time.NewTimer(pause/2 + rand.N(pause/2))
		defer wait.Stop()
		select {
		case <-ctx.Done():
		case <-l.wakeup:
		case <-wait.C:
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
		dialCtx, cancel := context.WithTimeout(ctx, l.pool.ConnectWait)
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
		l.pool.group.Go(func() error { return s.serve(ctx) })
	}
}

// useful gives the session in use, or nil where a new connection is wanted. One that spoke again after it had
// been stale gets what waited.
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

// flush sends what waited for a connection.
func (l *link) flush(s *session) {
	for _, b := range l.pendingReleases {
		s.release(b)
	}
	waiting := l.waiting
	l.waiting, l.pendingReleases, l.forceConnect = nil, nil, false
	for _, a := range waiting {
		l.sendWaiting(s, a)
	}
}

// sendWaiting sends an attempt that waited, for a client that is still there.
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
	case presence == exchange.Gone: // it never ran
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
	dial := p.Dials[scheme]
	if dial == nil {
		return nil, errors.New("no way to speak to " + addr)
	}
	return dial(ctx, addr)
}

// down takes a connect that failed. What it proves of the calls there is decided by silence.dead; where it proves nothing
// yet, the next connect comes when it may.
func (l *link) onConnectFailure(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if descriptors.Exhausted(err) || errors.Is(err, descriptors.ErrShareTaken) {
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
	case refused: // the machine is there; whether the process is, a connection that was ever heard would tell
		s.lastRefused, s.stale, l.forceConnect = now, false, false
	default:
		l.forceConnect = s.stale // tried again until one of the two connections speaks
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

// notTried takes a connect for which this process had no descriptor. It tells nothing of the server.
func (l *link) onNoDescriptor(err error) {
	l.pool.mu.Lock()
	l.failWaiting(control.ConnectionRefused)
	l.pool.mu.Unlock()
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "gone", false, "err", err)
}

// probeAt arranges for the connect that may prove the server dead. It does not wait for the growing pause between
// connects, as clients are owed the release of their calls in a fixed time. Called under the lock.
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

// probeNow connects, or waits on while the server list would tell of the server's end.
func (l *link) runProbe() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := time.Now()
	switch {
	case l.probe == nil || l.pool.links[l.server] != l:
	case !l.liveness.failing(): // a connection came up or spoke since
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

// up takes a new connection into use. The one before stays as long as attempts are out on it: it may only be slow.
// Once a later attempt stands over the new one it is known to be dead, as a processor takes set-ups in turn; and
// once a report came over the new one alone, as offices send those on all connections.
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
}
