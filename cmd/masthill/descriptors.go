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

// shrinkTimeout is how long it may take until clients are within a smaller share, as their connections are closed
// gracefully.
const shrinkTimeout = 2 * time.Second

// resizable is a front whose maximum number of connections can change.
type resizable interface{ SetMaxConnections(n int) }

// allocation keeps each user of file descriptors within its share. It recomputes the shares when the list of servers
// changes, when a second process serves the same address, and when the limit is lowered from outside.
type allocation struct {
	log     *slog.Logger
	servers *descriptors.Limiter // limits the connections to servers

	mu                   sync.Mutex
	demand               descriptors.Demand
	budget               descriptors.Budget
	listedServers        map[uint64]bool // by server number
	maxClientConnections int             // limit of client connections by memory
	clients              sharedFront     // the front that the platform's callers connect to
	webSocket            sharedFront
}

// sharedFront is one front and its listener; both are nil until the front is attached.
type sharedFront struct {
	resizable
	listener *listener.Bounded
}

// newAllocation makes an allocation with the shares for a demand.
func newAllocation(d descriptors.Demand, maxClientConnections int, log *slog.Logger) *allocation {
	a := &allocation{log: log, servers: descriptors.NewLimiter(0), demand: d, listedServers: map[uint64]bool{}, maxClientConnections: maxClientConnections}
	a.demand.Limit = effectiveLimit(d.Limit)
	a.replan()
	return a
}

// effectiveLimit is the lower of limit and the process's current limit of open files.
func effectiveLimit(limit int) int {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(limit) {
		return int(allowed.Cur)
	}
	return limit
}

// replan recomputes the budget and applies it. It is called with the lock held, or before the allocation is in use.
func (a *allocation) replan() {
	a.budget = descriptors.Plan(a.demand)
	a.servers.SetLimit(a.budget.Servers)
	a.clients.apply(a.clientsShare())
	a.webSocket.apply(a.budget.WebSocket)
}

// clientsShare is the share of the platform's front, limited by memory too.
func (a *allocation) clientsShare() descriptors.FrontShare {
	f := a.budget.Clients
	f.MaxConnections = min(f.MaxConnections, a.maxClientConnections)
	return f
}

// adminMaxConnections is how many connections the operators' address serves at once; one descriptor of its share is for
// the connection that waits to be served.
func (a *allocation) adminMaxConnections() int { return max(a.budget.Operators-1, 1) }

func (f sharedFront) apply(share descriptors.FrontShare) {
	if f.resizable != nil {
		f.SetMaxConnections(share.MaxConnections)
		f.listener.SetLimit(share.Descriptors)
	}
}

// attach has the allocation limit a front and its listener, and returns the limited listener to serve from.
func (a *allocation) attach(to *sharedFront, f resizable, l *listener.Listener) *listener.Bounded {
	l.OnShortage = a.onShortage
	a.mu.Lock()
	defer a.mu.Unlock()
	*to = sharedFront{f, listener.NewBounded(l, descriptors.NewLimiter(0))}
	a.replan()
	return to.listener
}

// onServerList recomputes the shares when the number of servers on the list has changed.
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

// onUpgrade halves the budget while another process serves the same address. It returns once clients are within their
// shares, or after shrinkTimeout.
func (a *allocation) onUpgrade(present bool) {
	startedAt := time.Now()
	a.setUpgrade(present)
	for a.exceeded() && time.Since(startedAt) < shrinkTimeout {
		time.Sleep(pollInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("descriptors shared out", "upgrade", present, "total", a.budget.Total, "clients", a.budget.Clients.Descriptors,
		"held", a.clients.held(), "after_ms", time.Since(startedAt).Milliseconds())
}

// setUpgrade recomputes the shares with or without another process at the same address.
func (a *allocation) setUpgrade(present bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.demand.Upgrade != present {
		a.demand.Upgrade = present
		a.replan()
	}
}

// exceeded tells whether clients hold more descriptors than their shares.
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

// onShortage is called when no descriptor was left. If the limit has been lowered from outside, it recomputes the
// shares, and the fronts close idle connections.
func (a *allocation) onShortage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := effectiveLimit(a.demand.Limit); limit < a.demand.Limit {
		a.log.Warn("descriptors limited from outside", "limit", limit, "before", a.demand.Limit)
		a.demand.Limit = limit
		a.replan()
	}
}

// dial wraps a dial function so that its connections stay within the share for servers.
func (a *allocation) dial(dial office.Dial) office.Dial {
	return func(ctx context.Context, addr string) (office.Peer, error) {
		if !a.servers.TryAcquire() {
			return nil, descriptors.ErrShareExhausted
		}
		peer, err := descriptors.OpenWithRetry(ctx, a.onShortage, func(ctx context.Context) (office.Peer, error) { return dial(ctx, addr) })
		if err != nil {
			a.servers.Release()
			return nil, err
		}
		return &limitedPeer{peer, a.servers}, nil
	}
}

// limitedPeer returns its descriptor to the limiter when its connection ends.
type limitedPeer struct {
	office.Peer
	limiter *descriptors.Limiter
}

// Run implements office.Peer.
func (p *limitedPeer) Run(ctx context.Context, h office.Handler) (sip.Reason, error) {
	defer p.limiter.Release()
	return p.Peer.Run(ctx, h)
}
