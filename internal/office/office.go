// Package office is the client side: it holds lasting connections to the offices on the list, sends them the
// attempts of the exchange, and turns what they say into outcomes and reports.
package office

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	Stood(id string, n int, desc []byte)
	Ended(id string, n int, e exchange.Ending)
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
}

// Pool holds the links to all offices on the list.
type Pool struct {
	Options
	mu    sync.Mutex
	links map[uint64]*link
	ctx   context.Context // of Run; nil before
	group *errgroup.Group
}

type key struct {
	id string
	n  int
}

// link is one office on the list and the connections to it.
type link struct {
	pool    *Pool
	server  uint64
	addr    string
	readyAt int64
	cancel  context.CancelFunc
	kick    chan struct{} // an attempt waits, or the session has gone
	cur     *session
	waiting []exchange.Attempt
	byes    []bye
}

type bye struct {
	key
	cut bool
}

// session is one connection of a link, with the attempts out on it.
type session struct {
	*link
	peer  Peer
	out   map[key]bool
	heard time.Time
	stale bool // silent where an answer was due: new attempts go over a new connection
}

// NewPool makes a pool; Run starts it.
func NewPool(o Options) *Pool { return &Pool{Options: o, links: map[uint64]*link{}} }

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
		if l != nil && (o.State == control.Out || o.Addr != l.addr || o.ReadyAt != l.readyAt) {
			p.drop(l)
			l = nil
		}
		if l == nil && o.State == control.In {
			l = &link{pool: p, server: o.Server, addr: o.Addr, readyAt: o.ReadyAt, kick: make(chan struct{}, 1)}
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
	case l.cur != nil && !l.cur.stale:
		l.cur.invite(a)
	default:
		l.waiting = append(l.waiting, a)
		l.wake()
	}
}

func (s *session) invite(a exchange.Attempt) {
	s.out[key{a.ID, a.N}] = true
	s.peer.Invite(a)
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
	// Over a connection that has been replaced, its end tells the same.
	if s := l.cur; s != nil && s.out[key{id, n}] {
		delete(s.out, key{id, n})
		s.peer.Cancel(id, n)
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
		l.cur.peer.Bye(id, n, cut)
	case len(l.byes) < byesMost:
		l.byes = append(l.byes, bye{key{id, n}, cut})
	}
}

// Suspect is told of an attempt that got no answer. A connection on which nothing at all was heard since then
// may lead to a machine that has vanished: it stays open and silent for ever, also when the machine is back.
func (p *Pool) Suspect(server uint64, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[server]; l != nil && l.cur != nil && l.cur.heard.Before(since) {
		l.cur.stale = true
	}
}

// run keeps the link connected: at once when an attempt waits, else at growing intervals.
func (l *link) run(ctx context.Context) {
	pause := redialFirst
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, l.pool.ConnectWait)
		peer, err := l.pool.dial(dialCtx, l.addr)
		cancel()
		if err != nil {
			l.down(err)
			wait := time.NewTimer(pause/2 + rand.N(pause/2))
			select {
			case <-ctx.Done():
			case <-l.kick:
			case <-wait.C:
			}
			wait.Stop()
			pause = min(2*pause, redialMost)
			continue
		}
		pause = redialFirst
		s := &session{link: l, peer: peer, out: map[key]bool{}, heard: time.Now()}
		l.pool.up(s)
		ended := make(chan struct{})
		l.pool.group.Go(func() error {
			defer close(ended)
			s.serve(ctx)
			return nil
		})
		for !l.replace(s) {
			select {
			case <-ended:
			case <-l.kick:
				continue
			}
			break
		}
	}
}

// replace tells whether the session is stale and attempts wait for a new one.
func (l *link) replace(s *session) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return s.stale && len(l.waiting) > 0
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

// down takes a connect that failed. Where it was refused no process listens, so all that stood there is cut.
func (l *link) down(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.pool.Log.Warn("office connect failed", "server", l.server, "addr", l.addr, "err", err)
	l.pool.mu.Lock()
	l.fail(control.RefusedConn)
	l.pool.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.pool.Core.Lost(l.server)
	}
}

// up takes a new connection into use; attempts out on the one before are given up with it.
func (p *Pool) up(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := s.cur
	s.cur = s
	if old != nil {
		old.peer.Close()
	}
	for _, b := range s.byes {
		s.peer.Bye(b.id, b.n, b.cut)
	}
	for _, a := range s.waiting {
		s.invite(a)
	}
	s.waiting, s.byes = nil, nil
}

func (s *session) serve(ctx context.Context) {
	p, began := s.pool, time.Now()
	reason, err := s.peer.Run(ctx, s)
	p.mu.Lock()
	if s.cur == s {
		s.cur = nil
	}
	out := s.out
	s.out = nil
	p.mu.Unlock()
	s.pool.Log.Info("office connection ended", "reason", reason, "server", s.server, "addr", s.addr,
		"open", len(out), "age_ms", time.Since(began).Milliseconds(), "err", err)
	for k := range out {
		p.Core.Ended(s.server, k.id, k.n, exchange.Ending{Outcome: control.Severed})
	}
	if reason == sip.PeerReset {
		p.Core.Lost(s.server)
	}
}

// hear notes that the office speaks; it tells whether the attempt was out on this connection.
func (s *session) hear(id string, n int) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.heard, s.stale = time.Now(), false
	known := s.out[key{id, n}]
	delete(s.out, key{id, n})
	return known
}

// Stood implements Hearer. An answer to an attempt that has ended goes on all the same: the exchange releases
// what nobody waits for.
func (s *session) Stood(id string, n int, desc []byte) {
	s.hear(id, n)
	s.pool.Core.Stood(s.server, id, n, desc)
}

// Ended implements Hearer.
func (s *session) Ended(id string, n int, e exchange.Ending) {
	if s.hear(id, n) {
		s.pool.Core.Ended(s.server, id, n, e)
	} else if e.Report != nil {
		s.pool.Core.State(s.server, e.Report)
	}
}

// Released implements Hearer.
func (s *session) Released(id string, cut bool, report []float64) {
	s.hear("", 0)
	s.pool.Core.Released(s.server, id, cut, report)
}

// State implements Hearer.
func (s *session) State(report []float64) {
	s.hear("", 0)
	if report != nil {
		s.pool.Core.State(s.server, report)
	}
}
