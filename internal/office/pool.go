package office

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control"
	"masthill/internal/exchange"
)

const (
	// maxWaitingAttempts and maxPendingReleases bound the attempts and the releases that wait for one connect.
	maxWaitingAttempts, maxPendingReleases = 256, 256
	// dropTimeout bounds the end of the connections to an office that is no longer used: what was sent before is written.
	dropTimeout = writeTimeout
)

// Options configures a Pool.
type Options struct {
	Core           Core
	Log            *slog.Logger
	ConnectTimeout time.Duration   // a connect that takes longer counts as refused
	Dialers        map[string]Dial // by the scheme of the address; "": an address without one
	ListLive       func() bool     // whether the server list is up to date, so that it would report the end of a server
}

// Pool holds the links to all offices on the list.
type Pool struct {
	Options
	mu    sync.Mutex
	links map[uint64]*link
	ctx   context.Context // of Run; nil before and after
	group *errgroup.Group
	delay answerDelay // of all servers together, as one instance has few calls at each
}

// NewPool creates a pool. Its links connect once Run is called.
func NewPool(o Options) *Pool {
	if o.ListLive == nil {
		o.ListLive = func() bool { return true }
	}
	return &Pool{Options: o, links: map[uint64]*link{}}
}

// Run keeps the links connected until ctx ends.
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
	p.ctx = nil // no link is started from here on
	p.mu.Unlock()
	return g.Wait()
}

func (p *Pool) start(l *link) {
	ctx, cancel := context.WithCancel(p.ctx)
	l.cancel = cancel
	l.sessions, l.endSessions = context.WithCancel(p.ctx)
	p.group.Go(func() error { l.run(ctx); return nil })
}

// UpdateList applies a change of the server list; full: the change holds the whole list. An office at a new address, or
// with a process started since the connection was opened, gets a new connection. One that drains is connected like any
// other, also where it is first heard of as draining: calls from before a restart of this process may be established
// there, and it sends their releases on any open connection.
func (p *Pool) UpdateList(changed []exchange.Office, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[uint64]bool{}
	for _, o := range changed {
		listed[o.Server] = o.State != control.Removed
		l := p.links[o.Server]
		var unconfirmed []release // of calls that go on at the new address
		if l != nil && (o.State == control.Removed || o.Addr != l.addr || l.connectedBefore(o.ReadyAt)) {
			if !l.connectedBefore(o.ReadyAt) {
				unconfirmed = l.unconfirmedReleases()
			}
			p.drop(l)
			l = nil
		}
		if l == nil && o.State != control.Removed {
			l = &link{pool: p, server: o.Server, addr: o.Addr, wakeup: make(chan struct{}, 1), pendingReleases: unconfirmed}
			p.links[o.Server] = l
			if p.ctx != nil {
				p.start(l)
			}
		}
	}
	for id, l := range p.links {
		if full && !listed[id] {
			p.drop(l)
		}
	}
}

// drop ends a link. Its connections end once the releases that were sent before have been written.
func (p *Pool) drop(l *link) {
	delete(p.links, l.server)
	l.cancelProbe()
	if l.cancel != nil {
		l.cancel()
		for _, s := range []*session{l.current, l.previous} {
			if s != nil {
				s.peer.Close()
			}
		}
		time.AfterFunc(dropTimeout, l.endSessions)
	}
	l.failWaiting(control.ConnectionRefused)
}

// Invite sends an attempt, over a new connection if there is no usable one.
func (p *Pool) Invite(a exchange.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[a.Server]
	switch {
	case l == nil || len(l.waiting) >= maxWaitingAttempts:
		p.Core.Ended(a.Server, a.ID, a.Index, exchange.Result{Outcome: control.ConnectionRefused})
	case l.current != nil && !l.current.stale && l.current.duplicateWait(a.ID) <= 0:
		l.current.invite(a)
	default:
		l.waiting = append(l.waiting, a)
		l.wake()
	}
}

// Cancel cancels an attempt. One that still waits for a connection is never sent.
func (p *Pool) Cancel(server uint64, id string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	if l == nil {
		return
	}
	for k, a := range l.waiting {
		if a.ID == id && a.Index == n {
			l.waiting = append(l.waiting[:k:k], l.waiting[k+1:]...)
			return
		}
	}
	for _, s := range []*session{l.current, l.previous} {
		if s == nil {
			continue
		}
		if a, ok := s.outstanding[id]; ok && a.n == n {
			delete(s.outstanding, id)
			s.peer.Cancel(id, n)
			s.closeIfUnused()
		}
	}
}

// Bye releases a call at its office over the current connection, or over the next one if there is none.
func (p *Pool) Bye(server uint64, id string, n int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	switch {
	case l == nil:
	case l.current != nil:
		l.current.release(release{id: id, n: n, cut: cut})
	case len(l.pendingReleases) < maxPendingReleases:
		l.pendingReleases = append(l.pendingReleases, release{id: id, n: n, cut: cut})
	}
}

// ReportSilence tells that something has been due from an office since that time. If nothing at all was received on its
// connection since then, and the machine has refused no other connect, the connection may lead to a machine that has
// vanished: it would stay open and silent forever, even after the machine is back. Attempts then go over a new
// connection. With forceConnect, it is opened even if nothing waits to be sent; without it, the old one must also have
// been silent for longer than set-ups take.
func (p *Pool) ReportSilence(server uint64, since time.Time, forceConnect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	if l == nil || l.current == nil || !forceConnect && !l.current.answerTimedOut() {
		return
	}
	if l.current.lastHeard.Before(since) && l.current.lastRefused.Before(since) {
		l.current.stale, l.forceConnect = true, l.forceConnect || forceConnect
		l.wake()
	}
}
