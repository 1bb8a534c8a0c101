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
	redialFirst, redialMost = 200 * time.Millisecond, 3 * time.Second
	// unheardStep is the wait until a client whose input waits to be read is asked for again.
	unheardStep = 2 * time.Millisecond
)

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

// olderThan tells whether the connection leads to a process before the one that started then. The list tells of
// a start late: a connection that is newer already leads to the new process, and set-ups are out on it.
func (l *link) olderThan(start int64) bool { return l.cur != nil && l.cur.began.UnixNano() < start }

// fail ends all attempts that wait for a connection: they never ran.
func (l *link) fail(o control.Outcome) {
	for _, a := range l.waiting {
		l.pool.Core.Ended(l.server, a.ID, a.Index, exchange.Result{Outcome: o})
	}
	l.waiting = nil
}

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
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
	waiting := l.waiting
	l.waiting, l.byes, l.check = nil, nil, false
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
	wait := s.copies(a.ID)
	if presence == exchange.InputPending {
		wait = max(wait, unheardStep)
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
func (l *link) down(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if descriptors.Exhausted(err) || errors.Is(err, descriptors.ErrShareTaken) {
		l.notTried(err)
		return
	}
	now := time.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	l.pool.mu.Lock()
	l.fail(control.ConnectionRefused)
	l.silence.connectFailed(now, refused, l.cur != nil)
	dead := l.silence.dead(now, l.cur != nil, l.pool.ListLive())
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
		l.pool.Core.ServerLost(l.server)
	}
}

// notTried takes a connect for which this process had no descriptor. It tells nothing of the server.
func (l *link) notTried(err error) {
	l.pool.mu.Lock()
	l.fail(control.ConnectionRefused)
	l.pool.mu.Unlock()
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "gone", false, "err", err)
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
	case !l.silence.dead(now, l.cur != nil, l.pool.ListLive()):
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
