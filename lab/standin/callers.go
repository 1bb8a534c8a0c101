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

// Demand describes the calls that callers make and how callers behave.
type Demand struct {
	Rate       float64                                // calls per second, redials not counted
	RateFactor func(since time.Duration) float64      // multiplies Rate; nil: 1
	Class      string                                 // class of every call
	Tenants    map[string]float64                     // share of the calls of each tenant
	Aim        time.Duration                          // target delay until a call is established, from its first try
	Deadline   time.Duration                          // the caller gives up after this time from its first try
	Patience   [2]float64                             // range of the patience for one try, as shares of Deadline
	Redials    int                                    // greatest number of tries after the first
	RedialGap  [2]time.Duration                       // range of the wait before a redial, if the refusal tells no longer one
	LateValue  float64                                // value of a call that is established after Aim
	Cells      int                                    // number of cells among which the destination is drawn evenly
	ObeyedWait func(told time.Duration) time.Duration // how long a caller waits when told to wait; nil: as long as told
}

// Outcome is the result of one caller's call, with all its tries.
type Outcome struct {
	At               time.Duration `json:"at"` // time of the first try since the start
	Worth            float64       `json:"worth"`
	Tries            int           `json:"tries"`
	EstablishedAfter time.Duration `json:"after"` // from the first try; 0: it was never established
	Cut              bool          `json:"cut"`
}

// CallerPool is all callers, with the front that spreads their calls over the instances in its rotation.
type CallerPool struct {
	Demand
	Ledger *check.Ledger
	seed   uint64

	mu        sync.Mutex
	rng       *rand.Rand
	links     map[string]*instanceLink
	pending   map[string]pendingTry // by call ID
	openCalls map[string]*Outcome   // by call ID
	results   []*Outcome
	lastID    uint64
	readers   sync.WaitGroup
}

// instanceLink is the front's connection to one instance.
type instanceLink struct {
	name         string
	conn         *conn
	inRotation   bool // the front sends it new calls
	disconnected bool // its connection has ended
}

// reply is an answer to a try. A status of 0 means that there was none.
type reply struct {
	status     int
	retryAfter time.Duration
}

// pendingTry is a try that waits for its answer.
type pendingTry struct {
	answer chan reply
	link   *instanceLink
}

// NewCallerPool makes a pool with no instances in its rotation.
func NewCallerPool(d Demand, l *check.Ledger, seed uint64) *CallerPool {
	return &CallerPool{Demand: d, Ledger: l, seed: seed, rng: rand.New(rand.NewPCG(seed, 0x63726f7764)), links: map[string]*instanceLink{},
		pending: map[string]pendingTry{}, openCalls: map[string]*Outcome{}}
}

// AddInstance connects to an instance and adds it to the rotation if it answers OPTIONS with 200.
func (c *CallerPool) AddInstance(ctx context.Context, name, addr string) error {
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	connection := &conn{Conn: raw}
	connection.write([]byte("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ping\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"))
	r := sip.NewReader(raw)
	if m, err := r.Next(); err != nil || m.Status != 200 {
		raw.Close()
		return fmt.Errorf("%s does not answer OPTIONS with 200: %v", name, err)
	}
	link := &instanceLink{name: name, conn: connection, inRotation: true}
	c.mu.Lock()
	c.links[name] = link
	c.mu.Unlock()
	c.readers.Go(func() { c.readLink(link, r) })
	return nil
}

// HasInstance tells whether an instance is in the rotation.
func (c *CallerPool) HasInstance(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	link := c.links[name]
	return link != nil && link.inRotation
}

// RemoveInstance takes an instance out of the rotation. Calls that it has accepted go on.
func (c *CallerPool) RemoveInstance(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[name]; link != nil {
		link.inRotation = false
	}
}

// InstanceKilled records that an instance's process was killed: no answers are due to the calls that it had.
func (c *CallerPool) InstanceKilled(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link := c.links[name]
	if link == nil {
		return
	}
	link.inRotation, link.disconnected = false, true
	link.conn.Close()
	for id, w := range c.pending {
		if w.link == link {
			c.Ledger.Abandoned(id)
		}
	}
}

// InstanceFrozen records that an instance's process is stopped: the front sends it no new calls, and no answers are due to
// the calls that it has.
func (c *CallerPool) InstanceFrozen(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[name]; link != nil {
		link.inRotation = false
		for id, w := range c.pending {
			if w.link == link {
				c.Ledger.Abandoned(id)
			}
		}
	}
}

// InstanceResumed adds an instance that was frozen to the rotation again, over its existing connection.
func (c *CallerPool) InstanceResumed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link := c.links[name]; link != nil && !link.disconnected {
		link.inRotation = true
	}
}

// readLink handles the messages of one instance until its connection ends.
func (c *CallerPool) readLink(link *instanceLink, r *sip.Reader) {
	defer link.conn.Close()
	for {
		m, err := r.Next()
		if err != nil {
			break
		}
		id := string(m.Get("Call-ID"))
		if string(m.Method) == "BYE" {
			link.conn.write(sip.Response(m, 200))
			c.mu.Lock()
			if o := c.openCalls[id]; o != nil && string(m.Get("Reason")) != "Q.850;cause=16" {
				o.Cut = true
			}
			delete(c.openCalls, id)
			c.mu.Unlock()
			continue
		}
		if _, method, ok := m.CSeq(); !ok || string(method) != "INVITE" || m.Status < 200 {
			continue
		}
		c.Ledger.Answered(id)
		ms, _ := strconv.ParseInt(string(m.Get("X-Later-Ms")), 10, 64)
		link.conn.write([]byte("ACK sip:x@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"))
		c.deliver(id, reply{status: m.Status, retryAfter: time.Duration(ms) * time.Millisecond})
	}
	c.mu.Lock()
	link.inRotation, link.disconnected = false, true
	c.mu.Unlock()
}

// deliver passes an answer to the try that waits for it, if it still does.
func (c *CallerPool) deliver(id string, r reply) {
	c.mu.Lock()
	w := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if w.answer != nil {
		w.answer <- r
	}
}

// Run offers calls for a duration, then waits until the last caller has its answer or has given up.
func (c *CallerPool) Run(ctx context.Context, duration time.Duration) error {
	startedAt := time.Now()
	g, ctx := errgroup.WithContext(ctx)
	next := startedAt
	for ctx.Err() == nil {
		rate := c.Rate
		if c.RateFactor != nil {
			rate *= c.RateFactor(time.Since(startedAt))
		}
		c.mu.Lock()
		next = next.Add(time.Duration(c.rng.ExpFloat64() / max(rate, 1e-3) * 1e9))
		seed := c.rng.Uint64()
		c.mu.Unlock()
		if next.Sub(startedAt) >= duration {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			g.Go(func() error { c.runCaller(ctx, startedAt, rand.New(rand.NewPCG(seed, 1))); return nil })
		}
	}
	return g.Wait()
}

// Close closes all connections and waits until their readers have ended.
func (c *CallerPool) Close() {
	c.mu.Lock()
	for _, link := range c.links {
		link.conn.Close()
	}
	c.mu.Unlock()
	c.readers.Wait()
}

// Results gives the outcomes of all callers, by the time of their first try. Calls that were cut are worth nothing.
func (c *CallerPool) Results() (all []Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.results {
		outcome := *o
		if outcome.Cut {
			outcome.Worth = 0
		}
		all = append(all, outcome)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// uniform draws a number evenly between lo and hi.
func uniform(rng *rand.Rand, lo, hi float64) float64 { return lo + rng.Float64()*(hi-lo) }

// drawTenant draws a tenant by the shares. The names are sorted, so that a seed always gives the same tenants.
func (c *CallerPool) drawTenant(rng *rand.Rand) string {
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

// runCaller makes one call, and redials until it is established or the caller gives up.
func (c *CallerPool) runCaller(ctx context.Context, startedAt time.Time, rng *rand.Rand) {
	firstTryAt := time.Now()
	o := &Outcome{At: firstTryAt.Sub(startedAt)}
	c.mu.Lock()
	c.results = append(c.results, o)
	c.mu.Unlock()
	tenant, number, dest := c.drawTenant(rng), fmt.Sprintf("%016x", rng.Uint64()), rng.IntN(max(c.Cells, 1))
	for try := 0; try <= c.Redials && ctx.Err() == nil; try++ {
		remaining := c.Deadline - time.Since(firstTryAt)
		patience := min(time.Duration(uniform(rng, c.Patience[0], c.Patience[1])*float64(c.Deadline)), remaining)
		if patience <= 0 {
			return
		}
		c.mu.Lock()
		o.Tries++
		c.mu.Unlock()
		r := c.sendTry(ctx, o, tenant, number, dest, try > 0, patience, rng)
		if r.status == 200 {
			after := time.Since(firstTryAt)
			c.mu.Lock()
			if o.EstablishedAfter, o.Worth = after, 1; after > c.Aim {
				o.Worth = c.LateValue
			}
			c.mu.Unlock()
			return
		}
		pause := time.Duration(uniform(rng, float64(c.RedialGap[0]), float64(c.RedialGap[1])))
		if retryAfter := r.retryAfter; retryAfter > 0 {
			if c.ObeyedWait != nil {
				retryAfter = c.ObeyedWait(retryAfter)
			}
			pause = max(pause, retryAfter)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// sendTry sends one set-up to an instance in the rotation and waits for its answer.
func (c *CallerPool) sendTry(ctx context.Context, o *Outcome, tenant, number string, dest int, isRedial bool, patience time.Duration, rng *rand.Rand) reply {
	c.mu.Lock()
	names := make([]string, 0, len(c.links))
	for name, link := range c.links {
		if link.inRotation {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		c.mu.Unlock()
		return reply{}
	}
	sort.Strings(names)
	link := c.links[names[rng.IntN(len(names))]]
	c.lastID++
	id := fmt.Sprintf("%08x%08x", uint32(c.seed), uint32(c.lastID))
	answer := make(chan reply, 1)
	c.pending[id] = pendingTry{answer, link}
	c.openCalls[id] = o
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
	if isRedial {
		b = sip.AppendHeader(b, "X-Retry", "1")
	}
	b = sip.AppendHeader(b, "X-Facts", fmt.Sprintf("dest:%d;width:1;via:-1", dest))
	sent := time.Now()
	c.Ledger.Offered(id, sent)
	link.conn.write(sip.AppendBody(b, []byte("offer of "+id)))
	var r reply
	select {
	case r = <-answer:
	case <-time.After(patience + 50*time.Millisecond):
		c.mu.Lock()
		delete(c.pending, id)
		disconnected := link.disconnected
		c.mu.Unlock()
		if disconnected { // a violation, unless the instance was killed
			c.Ledger.TimedOut(id, "the connection to "+link.name+" ended")
		} else {
			c.Ledger.TimedOut(id, "patience for "+link.name+" exceeded")
			link.conn.write([]byte("CANCEL sip:x@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"))
		}
	case <-ctx.Done():
		c.Ledger.Abandoned(id)
	}
	if r.status != 200 {
		c.mu.Lock()
		delete(c.openCalls, id)
		c.mu.Unlock()
	}
	return r
}
