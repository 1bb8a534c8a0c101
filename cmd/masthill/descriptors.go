package main

import (
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"masthill/control"
	"masthill/internal/descriptors"
	"masthill/internal/exchange"
	"masthill/internal/listener"
	"masthill/internal/office"
	"masthill/internal/sip"
)

// shrinkFor is how long clients may take to be within a smaller share: connections end in order.
const shrinkFor = 2 * time.Second

// resizable is a front whose bound can change.
type resizable interface{ SetMaxOpen(n int) }

// allocation keeps each user of descriptors within its share, and changes the shares with the list of servers, with a
// second process at the same address, and with a limit that is lowered from outside.
type allocation struct {
	log     *slog.Logger
	servers *descriptors.Limiter // connections to them

	mu        sync.Mutex
	demand    descriptors.Demand
	budget    descriptors.Budget
	listed    map[uint64]bool // servers on the list
	maxPlaces int             // the clients' places that the memory allows
	clients   sharedFront     // the platform's front
	webSocket sharedFront
}

// sharedFront is one front with its listener, once it is open.
type sharedFront struct {
	resizable
	listener *listener.Bounded
}

// newAllocation plans for a demand.
func newAllocation(d descriptors.Demand, maxPlaces int, log *slog.Logger) *allocation {
	a := &allocation{log: log, servers: descriptors.NewLimiter(0), demand: d, listed: map[uint64]bool{}, maxPlaces: maxPlaces}
	a.demand.Limit = processLimit(d.Limit)
	a.plan()
	return a
}

// processLimit is the lower one of a limit and what the system allows this process now.
func processLimit(limit int) int {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(limit) {
		return int(allowed.Cur)
	}
	return limit
}

// plan makes the budget anew and applies it. Called under the lock, or before there is a second user.
func (a *allocation) plan() {
	a.budget = descriptors.Plan(a.demand)
	a.servers.SetLimit(a.budget.Servers)
	a.clients.apply(a.clientsFront())
	a.webSocket.apply(a.budget.WebSocket)
}

// clientsFront is the platform's front's share, within what the memory allows.
func (a *allocation) clientsFront() descriptors.FrontShare {
	f := a.budget.Clients
	f.MaxConnections = min(f.MaxConnections, a.maxPlaces)
	return f
}

// operatorsPlaces is how many connections the operators' address holds at once, beside the one that waits for a place.
func (a *allocation) operatorsPlaces() int { return max(a.budget.Operators-1, 1) }

func (f sharedFront) apply(share descriptors.FrontShare) {
	if f.resizable != nil {
		f.SetMaxOpen(share.MaxConnections)
		f.listener.SetLimit(share.Descriptors)
	}
}

// attach hands a front and its listener over to the allocation.
func (a *allocation) attach(to *sharedFront, f resizable, l *listener.Listener) *listener.Bounded {
	l.OnShortage = a.shortage
	a.mu.Lock()
	defer a.mu.Unlock()
	*to = sharedFront{f, listener.NewBounded(l, descriptors.NewLimiter(0))}
	a.plan()
	return to.listener
}

// list follows how many servers there are.
func (a *allocation) list(changed []exchange.Office, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if full {
		clear(a.listed)
	}
	for _, s := range changed {
		if s.State == control.Removed {
			delete(a.listed, s.Server)
		} else {
			a.listed[s.Server] = true
		}
	}
	if len(a.listed) == a.demand.Servers {
		return
	}
	a.demand.Servers = len(a.listed)
	a.plan()
	if need := a.demand.Servers; a.budget.Servers < need {
		a.log.Warn("descriptors do not suffice", "reason", "servers", "servers", need, "share", a.budget.Servers)
	}
}

// upgrade halves the budget while another process serves the same address, and returns once clients are within it.
func (a *allocation) upgrade(present bool) {
	began := time.Now()
	a.share(present)
	for a.exceeded() && time.Since(began) < shrinkFor {
		time.Sleep(endStep)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("descriptors shared out", "upgrade", present, "total", a.budget.Total, "clients", a.budget.Clients.Descriptors,
		"held", a.clients.held(), "after_ms", time.Since(began).Milliseconds())
}

// share plans with or without another process.
func (a *allocation) share(present bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.demand.Upgrade != present {
		a.demand.Upgrade = present
		a.plan()
	}
}

// exceeded tells whether clients hold more than their share.
func (a *allocation) exceeded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clients.exceeds(a.budget.Clients) || a.webSocket.exceeds(a.budget.WebSocket)
}

func (f sharedFront) exceeds(share descriptors.FrontShare) bool { return f.held() > share.Descriptors }

func (f sharedFront) held() int {
	if f.listener == nil {
		return 0
	}
	return f.listener.Held()
}

// shortage is called where no descriptor was left: a limit that was lowered is planned for, and idle clients make room.
func (a *allocation) shortage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := processLimit(a.demand.Limit); limit < a.demand.Limit {
		a.log.Warn("descriptors limited from outside", "limit", limit, "before", a.demand.Limit)
		a.demand.Limit = limit
		a.plan()
	}
}

// dial bounds the connections that one way to servers makes.
func (a *allocation) dial(dial office.Dial) office.Dial {
	return func(ctx context.Context, addr string) (office.Peer, error) {
		if !a.servers.TryAcquire() {
			return nil, descriptors.ErrShareExhausted
		}
		peer, err := descriptors.OpenWithRetry(ctx, a.shortage, func(ctx context.Context) (office.Peer, error) { return dial(ctx, addr) })
		if err != nil {
			a.servers.Release()
			return nil, err
		}
		return &heldPeer{peer, a.servers}, nil
	}
}

// heldPeer gives its descriptor back when it ends.
type heldPeer struct {
	office.Peer
	gate *descriptors.Limiter
}

// Run implements office.Peer.
func (p *heldPeer) Run(ctx context.Context, h office.Handler) (sip.Reason, error) {
	defer p.gate.Release()
	return p.Peer.Run(ctx, h)
}
