// Package peers makes an instance a member of its fleet: it knows who else is there, carries what control/shared has to say
// and brings what the others say, and gives ordered streams between two members. Membership is the library's (memberlist:
// SWIM with Lifeguard, datagrams and streams encrypted by the fleet's keys). Nothing of a peer is ever waited for by the
// core: what it says comes through a bounded queue, and what does not fit is dropped, as a network drops it.
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

const (
	// inboundQueueSize and outboundQueueSize bound the messages on their way to the module and from it.
	inboundQueueSize, outboundQueueSize = 512, 2048
	leaveTimeout                        = 500 * time.Millisecond
)

// Peers is one instance's membership.
type Peers struct {
	options           Options
	log               *slog.Logger
	list              atomic.Pointer[memberlist.Memberlist] // nil until Run has begun; what Run sets before is there then, too
	ring              *memberlist.Keyring
	transport         *transport
	sessions          *sessionPool
	inbound, outbound chan []envelope
	group             *errgroup.Group
	ctx               context.Context

	mu          sync.Mutex
	members     map[string]*Member
	lastHeard   map[string]time.Time // a member was heard
	changes     []Change
	self        memberInfo
	nameTakenBy string // by whom this one's name is taken; empty: by nobody
	startedAt   time.Time

	received, dropped, undecodable atomic.Int64
	lastTickAt, resumedAt          atomic.Int64 // the last tick, and the first one after a standstill, Unix nanoseconds
}

// New opens the address. Nobody is told anything before Run.
func New(o Options) (*Peers, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	ring, err := memberlist.NewKeyring(o.Keys, o.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := listen(o.Listen, o.Via, o.Log)
	if err != nil {
		return nil, err
	}
	p := &Peers{options: o, log: o.Log, ring: ring, transport: t, inbound: make(chan []envelope, inboundQueueSize), outbound: make(chan []envelope, outboundQueueSize), members: map[string]*Member{}, lastHeard: map[string]time.Time{},
		startedAt: time.Now()}
	p.self = memberInfo{Site: o.Site, Machine: o.Machine, Epoch: o.Epoch, Started: p.startedAt.UnixMilli(), Version: o.Version}
	p.sessions = &sessionPool{name: o.Name, ring: ring, log: o.Log, handlers: o.Handlers, byMember: map[string]*yamux.Session{}}
	p.sessions.dial = p.dial
	t.handleStream = p.sessions.accept
	return p, nil
}

// Addr is the address where this member is reached.
func (p *Peers) Addr() string { return p.transport.addr().String() }

// Run is a member until ctx ends, and leaves then.
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
	g.Go(func() error { p.receiveLoop(work); return nil })
	g.Go(func() error { p.sendLoop(work); return nil })
	g.Go(func() error { p.tickLoop(work); return nil })
	g.Go(func() error { p.joinLoop(work); return nil })
	p.log.Info("member of the fleet", "addr", p.Addr(), "site", p.options.Site, "machine", p.options.Machine, "epoch", strconv.FormatUint(p.options.Epoch, 16))
	<-ctx.Done()
	p.mu.Lock()
	p.self.Leaving = true
	p.mu.Unlock()
	list.UpdateNode(leaveTimeout)
	list.Leave(leaveTimeout)
	p.saveMembers()
	list.Shutdown()
	stop()
	p.sessions.close()
	return g.Wait()
}
