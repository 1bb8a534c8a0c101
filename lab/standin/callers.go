package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/sip"
	"masthill/lab/check"
)

// Demand is what callers want and how they behave.
type Demand struct {
	Rate       float64                                // first tries a second
	RateFactor func(since time.Duration) float64      // times Rate; nil: 1
	Class      string                                 // of every call
	Tenants    map[string]float64                     // share of each
	Aim        time.Duration                          // wanted to stand within, from the first try
	Deadline   time.Duration                          // given up after
	Patience   [2]float64                             // of a try, parts of the deadline
	Redials    int                                    // at most, beside the first try
	RedialGap  [2]time.Duration                       // wait before a redial, where the refusal tells none
	LateValue  float64                                // worth of a call that stands after its aim
	Cells      int                                    // of first choice, drawn evenly
	ObeyedWait func(told time.Duration) time.Duration // how long a told wait is kept; nil: as long as told
}

// Outcome is what became of one caller's call, with all its tries.
type Outcome struct {
	At               time.Duration `json:"at"` // since the start
	Worth            float64       `json:"worth"`
	Tries            int           `json:"tries"`
	EstablishedAfter time.Duration `json:"after"` // until it stood; 0: it never did
	Cut              bool          `json:"cut"`
}

// Crowd is all callers, behind a front that spreads their calls over the instances in its rotation.
type CallerPool struct {
	Demand
	Ledger *check.Ledger
	seed   uint64

	mu       sync.Mutex
	rng      *rand.Rand
	gates    map[string]*gate
	waiting  map[string]wait // by call id
	standing map[string]*Outcome
	results  []*Outcome
	ids      uint64
	busy     sync.WaitGroup
}

// gate is the way to one instance.
type gate struct {
	name string
	conn *conn
	open bool // in the rotation
	gone bool // its connection has ended
}

type reply struct {
	status int
	later  time.Duration
}

// wait is a try that waits for its answer, and where it went.
type wait struct {
	answer chan reply
	gate   *gate
}

// NewCrowd makes the callers.
func NewCallerPool(d Demand, l *check.Ledger, seed uint64) *CallerPool {
	return &CallerPool{Demand: d, Ledger: l, seed: seed, rng: rand.New(rand.NewPCG(seed, 0x63726f7764)), gates: map[string]*gate{},
		waiting: map[string]wait{}, standing: map[string]*Outcome{}}
}

// Enter takes an instance into the rotation, once it passes the test; ctx bounds the wait for that.
func (c *CallerPool) AddInstance(ctx context.Context, name, addr string) error {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	cn := &conn{Conn: raw}
	cn.write([]byte("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ping\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"))
	r := sip.NewReader(raw)
	if m, err := r.Next(); err != nil || m.Status != 200 {
		raw.Close()
		return fmt.Errorf("%s fails its test: %v", name, err)
	}
	g := &gate{name: name, conn: cn, open: true}
	c.mu.Lock()
	c.gates[name] = g
	c.mu.Unlock()
	c.busy.Go(func() { c.read(g, r) })
	return nil
}

// In tells whether an instance is in the rotation.
func (c *CallerPool) HasInstance(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[name]
	return g != nil && g.open
}

// Leave takes an instance out of the rotation. What it has taken goes on.
func (c *CallerPool) RemoveInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gates[name]; g != nil {
		g.open = false
	}
}

// Killed tells that an instance's process was killed: nothing is owed for what it had.
func (c *CallerPool) InstanceKilled(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[name]
	if g == nil {
		return
	}
	g.open, g.gone = false, true
	g.conn.Close()
	for id, w := range c.waiting {
		if w.gate == g {
			c.Ledger.Abandoned(id)
		}
	}
}

// Frozen tells that an instance's process stands still: the front sends it nothing, and nothing is owed by it until Thawed.
func (c *CallerPool) InstanceFrozen(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gates[name]; g != nil {
		g.open = false
		for id, w := range c.waiting {
			if w.gate == g {
				c.Ledger.Abandoned(id)
			}
		}
	}
}

// Thawed takes it into the rotation again, over the connection that it has.
func (c *CallerPool) InstanceResumed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gates[name]; g != nil && !g.gone {
		g.open = true
	}
}

// read takes what one instance says.
func (c *CallerPool) read(g *gate, r *sip.Reader) {
	defer g.conn.Close()
	for {
		m, err := r.Next()
		if err != nil {
			break
		}
		id := string(m.Get("Call-ID"))
		if string(m.Method) == "BYE" {
			g.conn.write(sip.Response(m, 200))
			c.mu.Lock()
			if o := c.standing[id]; o != nil && string(m.Get("Reason")) != "Q.850;cause=16" {
				o.Cut = true
			}
			delete(c.standing, id)
			c.mu.Unlock()
			continue
		}
		if _, method, ok := m.CSeq(); !ok || string(method) != "INVITE" || m.Status < 200 {
			continue
		}
		c.Ledger.Answered(id)
		ms, _ := strconv.ParseInt(string(m.Get("X-Later-Ms")), 10, 64)
		g.conn.write([]byte("ACK sip:x@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"))
		c.tell(id, reply{status: m.Status, later: time.Duration(ms) * time.Millisecond})
	}
	c.mu.Lock()
	g.open, g.gone = false, true
	c.mu.Unlock()
}

func (c *CallerPool) tell(id string, r reply) {
	c.mu.Lock()
	w := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if w.answer != nil {
		w.answer <- r
	}
}

// Run offers calls for so long, then waits until the last caller has its answer or has given up.
func (c *CallerPool) Run(ctx context.Context, d time.Duration) error {
	began := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	next := began
	for ctx.Err() == nil {
		rate := c.Rate
		if c.RateFactor != nil {
			rate *= c.RateFactor(time.Since(began))
		}
		c.mu.Lock()
		next = next.Add(time.Duration(c.rng.ExpFloat64() / max(rate, 1e-3) * 1e9))
		seed := c.rng.Uint64()
		c.mu.Unlock()
		if next.Sub(began) >= d {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			g.Go(func() error { c.caller(ctx, began, rand.New(rand.NewPCG(seed, 1))); return nil })
		}
	}
	return g.Wait()
}

// Close ends all connections.
func (c *CallerPool) Close() {
	c.mu.Lock()
	for _, g := range c.gates {
		g.conn.Close()
	}
	c.mu.Unlock()
	c.busy.Wait()
}

// Results are the outcomes of all callers, by the time of their first try.
func (c *CallerPool) Results() (all []Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.results {
		one := *o
		if one.Cut {
			one.Worth = 0
		}
		all = append(all, one)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func between(rng *rand.Rand, lo, hi float64) float64 { return lo + rng.Float64()*(hi-lo) }

// tenant draws one by the shares, in a fixed order.
func (c *CallerPool) tenant(rng *rand.Rand) string {
	names := make([]string, 0, len(c.Tenants))
	for name := range c.Tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	u := rng.Float64()
	for _, name := range names {
		if u -= c.Tenants[name]; u < 0 {
			return name
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1]
}

// caller makes one call, and dials again as it likes to.
func (c *CallerPool) caller(ctx context.Context, began time.Time, rng *rand.Rand) {
	first := time.Now()
	o := &Outcome{At: first.Sub(began)}
	c.mu.Lock()
	c.results = append(c.results, o)
	c.mu.Unlock()
	tenant, number, dest := c.tenant(rng), fmt.Sprintf("%016x", rng.Uint64()), rng.IntN(max(c.Cells, 1))
	for try := 0; try <= c.Redials && ctx.Err() == nil; try++ {
		left := c.Deadline - time.Since(first)
		patience := min(time.Duration(between(rng, c.Patience[0], c.Patience[1])*float64(c.Deadline)), left)
		if patience <= 0 {
			return
		}
		c.mu.Lock()
		o.Tries++
		c.mu.Unlock()
		r := c.try(ctx, o, tenant, number, dest, try > 0, patience, rng)
		if r.status == 200 {
			after := time.Since(first)
			c.mu.Lock()
			if o.EstablishedAfter, o.Worth = after, 1; after > c.Aim {
				o.Worth = c.LateValue
			}
			c.mu.Unlock()
			return
		}
		gap := time.Duration(between(rng, float64(c.RedialGap[0]), float64(c.RedialGap[1])))
		if told := r.later; told > 0 {
			if c.ObeyedWait != nil {
				told = c.ObeyedWait(told)
			}
			gap = max(gap, told)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
	}
}

// try sends one set-up to an instance in the rotation and waits for its answer.
func (c *CallerPool) try(ctx context.Context, o *Outcome, tenant, number string, dest int, again bool, patience time.Duration, rng *rand.Rand) reply {
	c.mu.Lock()
	names := make([]string, 0, len(c.gates))
	for name, g := range c.gates {
		if g.open {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		c.mu.Unlock()
		return reply{}
	}
	sort.Strings(names)
	g := c.gates[names[rng.IntN(len(names))]]
	c.ids++
	id := fmt.Sprintf("%08x%08x", uint32(c.seed), uint32(c.ids))
	w := make(chan reply, 1)
	c.waiting[id] = wait{w, g}
	c.standing[id] = o
	c.mu.Unlock()

	b := sip.AppendRequest(nil, "INVITE", number)
	b = sip.AppendHeader(b, "Via", "SIP/2.0/TCP peer")
	b = sip.AppendHeader(b, "Call-ID", id)
	b = sip.AppendHeader(b, "CSeq", "1 INVITE")
	b = sip.AppendHeader(b, "Subject", c.Class)
	if tenant != "" {
		b = sip.AppendHeader(b, "Organization", tenant)
	}
	b = sip.AppendHeader(b, "X-Patience", fmt.Sprint(patience.Milliseconds()))
	if again {
		b = sip.AppendHeader(b, "X-Retry", "1")
	}
	b = sip.AppendHeader(b, "X-Facts", fmt.Sprintf("dest:%d;width:1;via:-1", dest))
	sent := time.Now()
	c.Ledger.Offered(id, sent)
	g.conn.write(sip.AppendBody(b, []byte("offer of "+id)))
	var r reply
	select {
	case r = <-w:
	case <-time.After(patience + 50*time.Millisecond):
		c.mu.Lock()
		delete(c.waiting, id)
		gone := g.gone
		c.mu.Unlock()
		if gone { // lost with its connection, unless its instance was killed
			c.Ledger.TimedOut(id, "the connection to "+g.name+" ended")
		} else {
			c.Ledger.TimedOut(id, "none from "+g.name+" in time")
			g.conn.write([]byte("CANCEL sip:x@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"))
		}
	case <-ctx.Done():
		c.Ledger.Abandoned(id)
	}
	if r.status != 200 {
		c.mu.Lock()
		delete(c.standing, id)
		c.mu.Unlock()
	}
	return r
}
