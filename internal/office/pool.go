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
	// waitingMost bounds the attempts that wait for one connect, byesMost the releases.
	waitingMost, byesMost = 256, 256
)

// Options is what a Pool is made from.
type Options struct {
	Core        Core
	Log         *slog.Logger
	ConnectWait time.Duration   // a connection not up by then is refused
	Dials       map[string]Dial // by scheme; "" for an address without one
	ListLive    func() bool     // whether the list of offices is heard: what it would tell of has not happened
}

// Pool holds the links to all offices on the list.
type Pool struct {
	Options
	mu    sync.Mutex
	links map[uint64]*link
	ctx   context.Context // of Run; nil before
	group *errgroup.Group
	delay answerDelay // of all servers: one instance has few calls at each
}

// NewPool makes a pool; Run starts it.
func NewPool(o Options) *Pool {
	if o.ListLive == nil {
		o.ListLive = func() bool { return true }
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
func (p *Pool) UpdateList(changed []exchange.Office, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	on := map[uint64]bool{}
	for _, o := range changed {
		on[o.Server] = o.State != control.Removed
		l := p.links[o.Server]
		if l != nil && (o.State == control.Removed || o.Addr != l.addr || l.olderThan(o.ReadyAt)) {
			p.drop(l)
			l = nil
		}
		if l == nil && o.State == control.Serving {
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

func (p *Pool) drop(l *link) {
	delete(p.links, l.server)
	l.cancelProbe()
	if l.cancel != nil {
		l.cancel()
	}
	l.fail(control.ConnectionRefused)
}

// Invite sends an attempt, over a new connection if need be.
func (p *Pool) Invite(a exchange.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[a.Server]
	switch {
	case l == nil || len(l.waiting) >= waitingMost:
		p.Core.Ended(a.Server, a.ID, a.Index, exchange.Result{Outcome: control.ConnectionRefused})
	case l.cur != nil && !l.cur.stale && l.cur.copies(a.ID) <= 0:
		l.cur.invite(a)
	default:
		l.waiting = append(l.waiting, a)
		l.wake()
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
		if a.ID == id && a.Index == n {
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
func (p *Pool) ReportSilence(server uint64, since time.Time, check bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[server]
	if l == nil || l.cur == nil || !check && !l.cur.mute() {
		return
	}
	if l.cur.heard.Before(since) && l.cur.asked.Before(since) {
		l.cur.stale, l.check = true, l.check || check
		l.wake()
	}
}
