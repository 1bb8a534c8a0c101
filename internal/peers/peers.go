// Package peers makes an instance a member of its fleet: it knows who else is there, carries what control/shared has to say
// and brings what the others say, and gives ordered streams between two members. Membership is the library's (memberlist:
// SWIM with Lifeguard, datagrams and streams encrypted by the fleet's keys). Nothing of a peer is ever waited for by the
// core: what it says comes through a bounded queue, and what does not fit is dropped, as a network drops it.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"masthill/control/shared"
)

const (
	// tickEvery is how often the module does what is due.
	tickEvery = 100 * time.Millisecond
	// usualFor is up to how many members each tells the others its counts twice a second; larger fleets do it more rarely.
	usualFor = 64
	// inMost and outMost bound the messages on their way to the module and from it.
	inMost, outMost = 512, 2048
	// lostMost bounds the members that are remembered after they are gone, lostFor how long, and rejoinEvery is how often
	// some of them, and the seeds, are tried: after a cut two halves do not find each other by themselves.
	lostMost, lostFor = 1024, time.Hour
	rejoinEvery       = 3 * time.Second
	rejoinSome        = 3
	leaveFor          = 500 * time.Millisecond
	suspectAfter      = 3 * time.Second // a member tells its counts twice a second, in large fleets more rarely
	changesMost       = 64              // that are kept for operators
	label             = "masthill"
)

// Member states.
const (
	Alive   = "alive"
	Suspect = "suspect" // nothing of it has been heard of late
	Left    = "left"    // on purpose
	Gone    = "gone"    // it is taken for dead, or cut off
)

// Reason codes of changes.
const (
	Joined    = "joined"
	Returned  = "returned"   // after it had left or gone, with the same process
	Restarted = "restarted"  // a new process
	NameTaken = "name-taken" // another process has this one's name
	NameFree  = "name-free"
)

// Member is one instance as this one sees it.
type Member struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Site    string    `json:"site"`
	Machine string    `json:"machine"`
	Epoch   uint64    `json:"epoch"` // of its process
	Started time.Time `json:"started"`
	Version string    `json:"version"`
	State   string    `json:"state"`
	Since   time.Time `json:"since"`
	Starts  int       `json:"starts"` // processes of it that have been seen
	Self    bool      `json:"self,omitempty"`
}

// Change is one change of a member.
type Change struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	State  string    `json:"state"`
	Reason string    `json:"reason"`
}

// meta is what a member tells of itself.
type meta struct {
	Site    string `codec:"s"`
	Machine string `codec:"m"`
	Epoch   uint64 `codec:"e"`
	Started int64  `codec:"t"` // Unix milliseconds
	Version string `codec:"v"`
	Leaving bool   `codec:"l"` // the library's own word for it does not reach its events
}

// Module is the decision module that talks; it is called on the core's goroutine alone.
type Module interface {
	Tick(now int64, members int) []shared.Out
	Hear(now int64, m shared.Message) []shared.Out
}

// Options is what a membership is made from.
type Options struct {
	Name, Site, Machine, Version string
	Epoch                        uint64
	Listen                       string            // host:port for datagrams and streams
	Advertise                    string            // what others are told; empty: the same
	Seeds                        []string          // host:port, or name/host:port
	Via                          map[string]string // other addresses for some members, by name
	Keys                         [][]byte          // 16, 24 or 32 bytes; the first seals, all open
	Remember                     string            // a file for the members' addresses; empty: none
	Log                          *slog.Logger
	Module                       Module
	// Do has the core run something without waiting for it; false: it has too much to do, and will not.
	Do       func(f func(now int64)) bool
	Handlers map[string]Handler // of streams, by kind
	Reach    Reach              // nil: all
	Slow     float64            // a lab's: all times are so many times as long; up to 1: as they are
}

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
	over    bool // Run waits for its last goroutines, and the library's may still bring events: they start no more

	heard, dropped, unread atomic.Int64
	beat, woke             atomic.Int64 // the last tick, and the first one after a standstill, Unix nanoseconds
}

// handle is the form of messages: MessagePack, as the membership library's own.
var handle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.MaxInitLen = 1024 // what a message claims to hold is believed as far as this
	return h
}()

// Encode gives a message's bytes.
func Encode(v any) (b []byte, err error) {
	err = codec.NewEncoderBytes(&b, handle).Encode(v)
	return b, err
}

func decode(b []byte, v any) error { return codec.NewDecoderBytes(b, handle).Decode(v) }

// byteTo is a message and whom it is for, or from whom.
type byteTo struct {
	to string
	b  []byte
	at time.Time // it was made, or read
}

// staleAfter is how old a message may be that is still worth sending, or how long this process may have stood still for
// what it reads then to be news: what waited in a frozen process tells of a time long past as if it were now.
const staleAfter = time.Second

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
	t.own, t.reach = p.links.take, o.Reach
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
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	stop()
	p.links.close()
	return g.Wait()
}

func (p *Peers) config() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Keyring, c.Label = p.o.Name, p.t, p.ring, label
	c.GossipVerifyIncoming, c.GossipVerifyOutgoing = true, true
	own := p.t.addr()
	c.BindAddr, c.BindPort = own.IP.String(), own.Port
	if host, port, err := net.SplitHostPort(p.o.Advertise); err == nil {
		c.AdvertiseAddr = host
		c.AdvertisePort, _ = strconv.Atoi(port)
	}
	c.ProbeInterval, c.ProbeTimeout = 500*time.Millisecond, 200*time.Millisecond
	c.GossipInterval, c.GossipNodes = 200*time.Millisecond, 3
	c.PushPullInterval, c.TCPTimeout = 15*time.Second, 2*time.Second
	c.EnableCompression = false // messages are short
	c.UDPBufferSize = 1400
	c.DeadNodeReclaimTime = 5 * time.Second // a name may come back at another address
	c.Delegate, c.Events, c.Conflict, c.Alive = (*delegate)(p), (*delegate)(p), (*delegate)(p), (*delegate)(p)
	c.Logger = stdlog.New(logWriter{p.log}, "", 0)
	return p.o.slow(c)
}

// logWriter passes the library's lines on: what it warns of is told as what it is, the rest at debug.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[ERR]") {
		w.log.Info("membership", "reason", "library", "text", text)
	} else {
		w.log.Debug("membership", "text", text)
	}
	return len(b), nil
}

// delegate is what the library calls; none of it may block.
type delegate Peers

func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	m := d.meta
	d.mu.Unlock()
	b, _ := Encode(m)
	return b
}

func (d *delegate) NotifyMsg(b []byte) {
	d.heard.Add(1)
	select {
	case d.in <- []byteTo{{b: append([]byte(nil), b...), at: time.Now()}}:
	default:
		d.dropped.Add(1)
	}
}

func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil } // what is for all is sent to all
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

// NotifyAlive refuses whoever is no instance of this program.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	var m meta
	if err := decode(n.Meta, &m); err != nil || m.Epoch == 0 || len(n.Name) > NameMost {
		return errors.New("no member's description")
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { (*Peers)(d).seen(n, Alive) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { (*Peers)(d).seen(n, Alive) }
func (d *delegate) NotifyLeave(n *memberlist.Node)  { (*Peers)(d).seen(n, Gone) }

// NotifyConflict takes that two processes have one name. The one that started later gives way: it says nothing to anybody
// until the name is free, so that it takes no part in any decision.
func (d *delegate) NotifyConflict(known, other *memberlist.Node) {
	p := (*Peers)(d)
	var m meta
	if decode(other.Meta, &m) != nil || m.Epoch == p.o.Epoch {
		return
	}
	p.log.Error("two processes of one name", "reason", NameTaken, "member", known.Name, "addr", known.Address(), "other", other.Address())
	if known.Name != p.o.Name {
		return
	}
	if mine := p.meta; m.Started < mine.Started || m.Started == mine.Started && m.Epoch < mine.Epoch {
		p.mu.Lock()
		p.taken = other.Address()
		p.note(p.o.Name, Gone, NameTaken)
		p.mu.Unlock()
	}
}

// seen takes what the library says of a member.
func (p *Peers) seen(n *memberlist.Node, state string) {
	var m meta
	if decode(n.Meta, &m) != nil {
		return
	}
	if m.Leaving && state == Gone {
		state = Left
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.members[n.Name]
	now := &Member{Name: n.Name, Addr: n.Address(), Site: m.Site, Machine: m.Machine, Epoch: m.Epoch, Started: time.UnixMilli(m.Started), Version: m.Version,
		State: state, Since: time.Now(), Starts: 1, Self: n.Name == p.o.Name}
	reason := Joined
	switch {
	case before == nil && state != Alive:
		return
	case before == nil:
		if len(p.members) >= lostMost+memberlistMost {
			p.forgetOldest()
		}
	case before.Epoch != m.Epoch && state == Alive:
		reason, now.Starts = Restarted, before.Starts+1
	case before.State == state:
		now.Since, now.Starts = before.Since, before.Starts
		p.members[n.Name] = now
		return
	default:
		now.Starts = before.Starts
		if reason = Returned; state != Alive {
			reason = state
		}
	}
	p.members[n.Name] = now
	if !now.Self {
		p.note(n.Name, state, reason)
		if (state != Alive || reason == Restarted) && !p.over {
			p.group.Go(func() error { p.links.forget(n.Name); return nil }) // closes sockets, which the library must not wait for
		}
	}
}

// note logs and keeps a change.
func (p *Peers) note(name, state, reason string) {
	p.log.Info("member", "name", name, "state", state, "reason", reason)
	p.changes = append(p.changes, Change{time.Now(), name, state, reason})
	p.changes = p.changes[max(0, len(p.changes)-changesMost):]
	if reason == Gone {
		p.t.meter.deaths.Add(1)
	}
}

// memberlistMost is how many members there may be.
const memberlistMost = 1024

func (p *Peers) forgetOldest() {
	oldest := ""
	for name, m := range p.members {
		if m.State != Alive && (oldest == "" || m.Since.Before(p.members[oldest].Since)) {
			oldest = name
		}
	}
	delete(p.members, oldest)
	delete(p.last, oldest)
}

// Members lists the members, those that are gone with them.
func (p *Peers) Members() (all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	quiet := suspectAfter * time.Duration(1+len(p.members)/usualFor)
	for name, m := range p.members {
		one := *m
		if one.State == Alive && !one.Self && time.Since(p.last[name]) > quiet && time.Since(one.Since) > quiet {
			one.State = Suspect
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Status is what operators are told.
type Status struct {
	Name     string   `json:"name"`
	Addr     string   `json:"addr"`
	Epoch    string   `json:"epoch"`
	Taken    string   `json:"name_taken_by,omitempty"`
	Members  []Member `json:"members"`
	Changes  []Change `json:"changes"`
	Health   int      `json:"health"` // 0: well; more: this instance itself hears late (Lifeguard's local health)
	Heard    int64    `json:"heard"`  // messages
	Dropped  int64    `json:"dropped"`
	Unread   int64    `json:"unreadable"`
	SentN    int64    `json:"sent"` // datagrams
	SentByte int64    `json:"sent_bytes"`
	Traffic  Traffic  `json:"traffic"`
	Deaths   int64    `json:"deaths"` // changes of others to gone
}

// Status tells what the membership knows.
func (p *Peers) Status() Status {
	s := Status{Name: p.o.Name, Addr: p.Addr(), Epoch: strconv.FormatUint(p.o.Epoch, 16), Members: p.Members(), Heard: p.heard.Load(),
		Dropped: p.dropped.Load() + p.t.dropped.Load(), Unread: p.unread.Load(), SentN: p.t.sentN.Load(), SentByte: p.t.sent.Load(), Traffic: p.Traffic(), Deaths: p.t.meter.deaths.Load()}
	if list := p.list.Load(); list != nil {
		s.Health = list.GetHealthScore()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Changes, s.Taken = slices.Clone(p.changes), p.taken
	return s
}

// count is how many members are taken to be there.
func (p *Peers) count() int {
	if list := p.list.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// silent tells whether this process has to hold its tongue, its name being another's.
func (p *Peers) silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken != ""
}

// hearing brings the module what the others say.
func (p *Peers) hearing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-p.in:
			var m shared.Message
			if err := decode(one[0].b, &m); err != nil {
				p.unread.Add(1)
				continue
			}
			if p.silent() {
				continue
			}
			if m.Lease == nil && (time.Since(one[0].at) > staleAfter || p.stoodStill()) {
				p.dropped.Add(1)
				continue
			}
			if m.Count != nil {
				p.mu.Lock()
				if p.members[m.Count.From.Name] != nil {
					p.last[m.Count.From.Name] = time.Now()
				}
				p.mu.Unlock()
			}
			if !p.o.Do(func(now int64) { p.send(p.o.Module.Hear(now, m)) }) {
				p.dropped.Add(1)
			}
		}
	}
}

// stoodStill tells whether this process has just begun to run again: what it reads then may have waited for it. Frozen, it
// has no ticks; what the kernel holds for it is read within a moment.
func (p *Peers) stoodStill() bool {
	return time.Since(time.Unix(0, p.beat.Load())) > staleAfter || time.Since(time.Unix(0, p.woke.Load())) < 2*tickEvery
}

// ticking has the module do what is due.
func (p *Peers) ticking(ctx context.Context) {
	tick := time.NewTicker(p.o.slowed(tickEvery))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(time.Unix(0, p.beat.Load())) > staleAfter {
			p.woke.Store(time.Now().UnixNano())
		}
		p.beat.Store(time.Now().UnixNano())
		if p.silent() {
			continue
		}
		n := p.count()
		p.o.Do(func(now int64) { p.send(p.o.Module.Tick(now, n)) })
	}
}

// send takes what the module has to say; it is called on the core's goroutine and never blocks.
func (p *Peers) send(out []shared.Out) {
	if len(out) == 0 {
		return
	}
	batch := make([]byteTo, 0, len(out))
	for _, o := range out {
		b, err := Encode(o.Message)
		if err == nil {
			batch = append(batch, byteTo{o.To, b, time.Now()})
		}
	}
	select {
	case p.out <- batch:
	default:
		p.dropped.Add(int64(len(batch)))
	}
}

// saying sends datagrams: to one member, or to all.
func (p *Peers) saying(ctx context.Context) {
	for {
		var batch []byteTo
		select {
		case <-ctx.Done():
			return
		case batch = <-p.out:
		}
		to := p.addresses()
		for _, m := range batch {
			if time.Since(m.at) > staleAfter {
				p.dropped.Add(1)
				continue
			}
			for _, a := range to {
				if m.to == "" || m.to == a.Name {
					if err := p.list.Load().SendToAddress(a, m.b); err != nil {
						p.dropped.Add(1)
					}
				}
			}
		}
	}
}

// addresses are those of the other members. They are kept from the library's events: what its Members gives changes under
// the reader's hands.
func (p *Peers) addresses() (all []memberlist.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		if m.State == Alive && !m.Self {
			all = append(all, memberlist.Address{Addr: m.Addr, Name: name})
		}
	}
	return all
}

// joining finds the others: by the seeds and what was remembered at first, and again while there are members that are gone
// or nobody is there.
func (p *Peers) joining(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.o.Epoch, 0x6a6f696e))
	known := p.remembered()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = 200*time.Millisecond, rejoinEvery
	remembered := time.Now()
	for {
		p.mu.Lock()
		alive := 0
		var lost []string
		for name, m := range p.members {
			switch {
			case m.State == Alive:
				alive++
			case m.State == Gone && time.Since(m.Since) < lostFor:
				lost = append(lost, name+"/"+m.Addr)
			}
		}
		taken := p.taken
		p.mu.Unlock()
		slices.Sort(lost)
		to := lost
		if alive <= 1 || taken != "" || rng.IntN(8) == 0 { // the seeds now and then, in case of two fleets that never met
			to = append(append(to, p.o.Seeds...), known...)
		}
		rng.Shuffle(len(to), func(a, b int) { to[a], to[b] = to[b], to[a] })
		for _, addr := range to[:min(len(to), rejoinSome)] {
			if ctx.Err() != nil {
				return
			}
			if p.claims(addr) {
				p.list.Load().Join([]string{addr})
			}
		}
		if alive > 1 {
			pause.Reset()
			if time.Since(remembered) > rejoinEvery {
				remembered = time.Now()
				p.remember()
			}
		}
		wait := rejoinEvery
		if alive <= 1 {
			wait = pause.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.o.slowed(wait)):
		}
		if taken != "" {
			p.retryName()
		}
	}
}

// claims tells whether an address is another's: an instance does not join itself.
func (p *Peers) claims(addr string) bool {
	if _, bare, ok := strings.Cut(addr, "/"); ok {
		addr = bare
	}
	return addr != p.Addr() && addr != p.o.Advertise
}

// retryName asks whether the other process of this one's name is still there.
func (p *Peers) retryName() {
	p.mu.Lock()
	taken := p.taken
	p.mu.Unlock()
	udp, err := net.ResolveUDPAddr("udp", taken)
	if err == nil {
		_, err = p.list.Load().Ping(p.o.Name, udp)
	}
	if err != nil {
		p.mu.Lock()
		p.taken = ""
		p.note(p.o.Name, Alive, NameFree)
		p.mu.Unlock()
	}
}

// remember writes the members' addresses down, for a start at which all seeds are away.
func (p *Peers) remember() {
	if p.o.Remember == "" {
		return
	}
	var all []string
	for _, m := range p.Members() {
		if !m.Self && m.State != Left {
			all = append(all, m.Name+"/"+m.Addr)
		}
	}
	if len(all) == 0 {
		return // knowing nobody is no news worth keeping
	}
	b, err := json.Marshal(all)
	if err == nil {
		err = renameio.WriteFile(p.o.Remember, b, 0o600)
	}
	if err != nil {
		p.log.Warn("members not remembered", "reason", "disk", "err", err)
	}
}

func (p *Peers) remembered() (all []string) {
	if p.o.Remember == "" {
		return nil
	}
	b, err := os.ReadFile(p.o.Remember)
	if err != nil {
		return nil
	}
	if json.Unmarshal(b, &all) != nil {
		p.log.Warn("remembered members left out", "reason", "unreadable", "file", p.o.Remember)
		return nil
	}
	return all[:min(len(all), memberlistMost)]
}

// Keys changes the keys while the fleet runs: the first seals from now on, all of them open.
func (p *Peers) Keys(keys [][]byte) error {
	for _, k := range keys {
		if err := p.ring.AddKey(k); err != nil {
			return err
		}
	}
	if err := p.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return slices.Equal(k, old) }) {
			p.ring.RemoveKey(old)
		}
	}
	p.log.Info("keys changed", "reason", "reload", "keys", len(keys))
	return nil
}

// dial connects to a member for streams.
func (p *Peers) dial(ctx context.Context, name string) (net.Conn, error) {
	for _, a := range p.addresses() {
		if a.Name == name {
			return p.t.dial(ctx, a, greetFor)
		}
	}
	return nil, ErrNoMember
}

// Open opens a stream of a kind to a member. What it carries comes in order or not at all.
func (p *Peers) Open(ctx context.Context, name, kind string) (net.Conn, error) {
	return p.links.open(ctx, name, kind)
}
