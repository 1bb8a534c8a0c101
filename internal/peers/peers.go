// Package peers makes an instance a member of its fleet. It keeps the list of members, exchanges the messages of package
// control/shared with them as datagrams, and provides ordered streams between two members.
//
// Membership is that of the memberlist library (SWIM with Lifeguard), with datagrams and streams encrypted by the fleet's
// keys. The core never waits for a peer: messages pass through bounded queues, and those that do not fit are
// dropped, as on a lossy network.
package peers

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
)

// leaveTimeout bounds each of the two steps of leaving: announcing it, and waiting until it has spread.
const leaveTimeout = 500 * time.Millisecond

// Peers is one instance's membership.
type Peers struct {
	options   Options
	log       *slog.Logger
	keyring   *memberlist.Keyring
	transport *transport
	sessions  *sessionPool
	inbound   chan envelope
	outbound  chan []envelope

	// list is nil until Run has started. Once it is set, group and ctx may be used, which Run sets before.
	list  atomic.Pointer[memberlist.Memberlist]
	group *errgroup.Group
	ctx   context.Context

	mu          sync.Mutex
	members     map[string]*Member
	lastHeard   map[string]time.Time // when a member's counts were last received
	changes     []Change
	self        memberInfo
	nameTakenBy string // the address of another process with this instance's name; empty: there is none
	stopping    bool   // Run waits for its last goroutines, so later events of the library must not start others

	received    atomic.Int64
	dropped     atomic.Int64
	undecodable atomic.Int64

	lastTickAt atomic.Int64 // in Unix nanoseconds, as is resumedAt
	resumedAt  atomic.Int64 // when the first tick after a pause of this process was
}

// New makes a member and opens its address. Nothing is sent before Run.
func New(o Options) (*Peers, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	keyring, err := memberlist.NewKeyring(o.Keys, o.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := listen(o.Listen, o.AddrOverrides, o.Log)
	if err != nil {
		return nil, err
	}
	p := &Peers{
		options:   o,
		log:       o.Log,
		keyring:   keyring,
		transport: t,
		inbound:   make(chan envelope, inboundQueueSize),
		outbound:  make(chan []envelope, outboundQueueSize),
		members:   map[string]*Member{},
		lastHeard: map[string]time.Time{},
		self: memberInfo{
			Site:      o.Site,
			Machine:   o.Machine,
			Epoch:     o.Epoch,
			StartedAt: time.Now().UnixMilli(),
			Version:   o.Version,
		},
	}
	p.sessions = &sessionPool{
		name:     o.Name,
		keyring:  keyring,
		log:      o.Log,
		handlers: o.Handlers,
		dial:     p.dial,
		byMember: map[string]*yamux.Session{},
	}
	t.handleStream = p.sessions.accept
	t.reachable = o.Reachable
	return p, nil
}

// Addr is the address on which this member listens.
func (p *Peers) Addr() string { return p.transport.addr().String() }

// Run takes part in the fleet until ctx ends, and then leaves it.
func (p *Peers) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	p.group, p.ctx = g, work
	p.sessions.group, p.sessions.ctx = g, work
	g.Go(func() error { return p.transport.run(work) })
	list, err := memberlist.Create(p.memberlistConfig())
	if err != nil {
		stop()
		g.Wait()
		return err
	}
	p.list.Store(list)
	p.lastTickAt.Store(time.Now().UnixNano())
	for _, loop := range []func(context.Context){p.receiveLoop, p.sendLoop, p.tickLoop, p.joinLoop} {
		g.Go(func() error { loop(work); return nil })
	}
	p.log.Info("joined the fleet", "addr", p.Addr(), "site", p.options.Site, "machine", p.options.Machine, "epoch", strconv.FormatUint(p.options.Epoch, 16))
	<-ctx.Done()
	p.leave(list)
	stop()
	p.sessions.close()
	return g.Wait()
}

// leave announces that this member leaves on purpose, and ends the membership.
func (p *Peers) leave(list *memberlist.Memberlist) {
	p.mu.Lock()
	p.self.Leaving = true
	p.mu.Unlock()
	list.UpdateNode(leaveTimeout)
	list.Leave(leaveTimeout)
	p.saveMembers()
	list.Shutdown()
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
}
