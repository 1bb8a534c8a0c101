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
	// inMost and outMost bound the messages on their way to the module and from it.
	inMost, outMost = 512, 2048
	leaveFor        = 500 * time.Millisecond
)

// Peers is one instance's membership.
type Peers struct {
	o       Options
	log     *slog.Logger
	list    atomic.Pointer[memberlist.Memberlist] // nil until Run has begun; what Run sets before is there then, too
	ring    *memberlist.Keyring
	t       *transport
	links   *links
	in, out chan []byteTo
	group   *errgroup.Group
	ctx     context.Context

	mu      sync.Mutex
	members map[string]*Member
	last    map[string]time.Time // a member was heard
	changes []Change
	meta    meta
	taken   string // by whom this one's name is taken; empty: by nobody
	began   time.Time

	heard, dropped, unread atomic.Int64
	beat, woke             atomic.Int64 // the last tick, and the first one after a standstill, Unix nanoseconds
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
	p := &Peers{o: o, log: o.Log, ring: ring, t: t, in: make(chan []byteTo, inMost), out: make(chan []byteTo, outMost), members: map[string]*Member{}, last: map[string]time.Time{},
		began: time.Now()}
	p.meta = meta{Site: o.Site, Machine: o.Machine, Epoch: o.Epoch, Started: p.began.UnixMilli(), Version: o.Version}
	p.links = &links{name: o.Name, ring: ring, log: o.Log, handlers: o.Handlers, out: map[string]*yamux.Session{}}
	p.links.dial = p.dial
	t.own = p.links.take
	return p, nil
}

// Addr is the address where this member is reached.
func (p *Peers) Addr() string { return p.t.addr().String() }

// Run is a member until ctx ends, and leaves then.
func (p *Peers) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	p.group, p.ctx = g, work
	p.links.group, p.links.ctx = g, work
	g.Go(func() error { return p.t.run(work) })
	list, err := memberlist.Create(p.config())
	if err != nil {
		stop()
		g.Wait()
		return err
	}
	p.list.Store(list)
	p.beat.Store(time.Now().UnixNano())
	g.Go(func() error { p.hearing(work); return nil })
	g.Go(func() error { p.saying(work); return nil })
	g.Go(func() error { p.ticking(work); return nil })
	g.Go(func() error { p.joining(work); return nil })
	p.log.Info("member of the fleet", "addr", p.Addr(), "site", p.o.Site, "machine", p.o.Machine, "epoch", strconv.FormatUint(p.o.Epoch, 16))
	<-ctx.Done()
	p.mu.Lock()
	p.meta.Leaving = true
	p.mu.Unlock()
	list.UpdateNode(leaveFor)
	list.Leave(leaveFor)
	p.remember()
	list.Shutdown()
	stop()
	p.links.close()
	return g.Wait()
}
