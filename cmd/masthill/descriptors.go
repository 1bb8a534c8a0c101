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
const shrinkTimeout = 2 * time.Second

// resizable is a front whose bound can change.
type resizable interface{ SetMaxOpen(n int) }

// allocation keeps each user of descriptors within its share, and changes the shares with the list of servers, with a
// second process at the same address, and with a limit that is lowered from outside.
type allocation struct {
	log     *slog.Logger
	servers *descriptors.Gate // connections to them

	mu            sync.Mutex
	demand        descriptors.Demand
	budget        descriptors.Budget
	listedServers map[uint64]bool // servers on the list
	maxPlaces     int             // the clients' places that the memory allows
	clients       sharedFront     // the platform's front
	webSocket     sharedFront
}

// sharedFront is one front with its listener, once it is open.
type sharedFront struct {
	resizable
	listener *listener.Bounded
}

// newAllocation plans for a demand.
func newAllocation(d descriptors.Demand, maxPlaces int, log *slog.Logger) *allocation {
	a := &allocation{log: log, servers: descriptors.NewGate(0), demand: d, listedServers: map[uint64]bool{}, maxPlaces: maxPlaces}
	a.demand.Limit = effectiveLimit(d.Limit)
	a.replan()
	return a
}

// processLimit is the lower one of a limit and what the system allows this process now.
func effectiveLimit(limit int) int {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(limit) {
		return int(allowed.Cur)
	}
	return limit
}

// plan makes the budget anew and applies it. Called under the lock, or before there is a second user.
func (a *allocation) replan() {
	a.budget = descriptors.Plan(a.demand)
	a.servers.SetLimit(a.budget.Servers)
	a.clients.apply(a.clientsShare())
	a.webSocket.apply(a.budget.WebSocket)
}

// clientsFront is the platform's front's share, within what the memory allows.
func (a *allocation) clientsShare() descriptors.Front {
	f := a.budget.Clients
	f.Places = min(f.Places, a.maxPlaces)
	return f
}

// operatorsPlaces is how many connections the operators' address holds at once, beside the one that waits for a place.
func (a *allocation) adminMaxOpen() int { return max(a.budget.Operators-1, 1) }

func (f sharedFront) apply(share descriptors.Front) {
	if f.resizable != nil {
		f.SetMaxOpen(share.Places)
		f.listener.SetLimit(share.Descriptors)
	}
}

// attach hands a front and its listener over to the allocation.
func (a *allocation) attach(to *sharedFront, f resizable, l *listener.Listener) *listener.Bounded {
	l.Shortage = a.onShortage
	a.mu.Lock()
	defer a.mu.Unlock()
	*to = sharedFront{f, listener.Bound(l, descriptors.NewGate(0))}
	a.replan()
	return to.listener
}

// list follows how many servers there are.
func (a *allocation) onServerList(changed []exchange.Office, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if full {
		clear(a.listedServers)
	}
	for _, s := range changed {
		if s.State == control.Removed {
			delete(a.listedServers, s.Server)
		} else {
			a.listedServers[s.Server] = true
		}
	}
	if len(a.listedServers) == a.demand.Servers {
		return
	}
	a.demand.Servers = len(a.listedServers)
	a.replan()
	if need := a.demand.Servers; a.budget.Servers < need {
		a.log.Warn("descriptors do not suffice", "reason", "servers", "servers", need, "share", a.budget.Servers)
	}
}

// upgrade halves the budget while another process serves the same address, and returns once clients are within it.
func (a *allocation) onUpgrade(present bool) {
	began := time.Now()
	a.share(present)
	for a.exceeded() && time.Since(began) < shrinkTimeout {
		time.Sleep(pollInterval)
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
		a.replan()
	}
}

// exceeded tells whether clients hold more than their share.
func (a *allocation) exceeded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clients.exceeds(a.budget.Clients) || a.webSocket.exceeds(a.budget.WebSocket)
}

func (f sharedFront) exceeds(share descriptors.Front) bool { return f.held() > share.Descriptors }

func (f sharedFront) held() int {
	if f.listener == nil {
		return 0
	}
	return f.listener.Held()
}

// shortage is called where no descriptor was left: a limit that was lowered is planned for, and idle clients make room.
func (a *allocation) onShortage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := effectiveLimit(a.demand.Limit); limit < a.demand.Limit {
		a.log.Warn("descriptors limited from outside", "limit", limit, "before", a.demand.Limit)
		a.demand.Limit = limit
		a.replan()
	}
}

// dial bounds the connections that one way to servers makes.
func (a *allocation) dial(dial office.Dial) office.Dial {
	return func(ctx context.Context, addr string) (office.Peer, error) {
		if !a.servers.Take() {
			return nil, descriptors.ErrShareTaken
		}
		peer, err := descriptors.Persist(ctx, a.onShortage, func(ctx context.Context) (office.Peer, error) { return dial(ctx, addr) })
		if err != nil {
			a.servers.Release()
			return nil, err
		}
		return &gatedPeer{peer, a.servers}, nil
	}
}

// heldPeer gives its descriptor back when it ends.
type gatedPeer struct {
	office.Peer
	gate *descriptors.Gate
}

// Run implements office.Peer.
func (p *gatedPeer) Run(ctx context.Context, h office.Handler) (sip.Reason, error) {
	defer p.gate.Release()
	return p.Peer.Run(ctx, h)
}
