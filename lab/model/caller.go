package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/internal/exchange"
)

// caller is one call with all its tries.
type caller struct {
	m       *model
	rng     *rand.Rand
	tenant  string
	number  string
	dest    int
	first   int64
	tries   int
	id      string // of the try under way
	at      *controller
	stoodAt int64
	cut     bool
	ended   bool
}

// caller makes a call; its first try follows at once.
func (m *model) caller() *caller {
	c := &caller{m: m, rng: rand.New(rand.NewPCG(m.rng.Uint64(), 7)), first: m.now}
	u := c.rng.Float64()
	for _, t := range tenants {
		if c.tenant = t.name; u < t.share {
			break
		}
		u -= t.share
	}
	c.number, c.dest = fmt.Sprintf("%016x", c.rng.Uint64()), c.rng.IntN(m.Servers)
	m.all = append(m.all, c)
	m.after(0, c.try)
	return c
}

func (c *caller) try() {
	m := c.m
	left := c.first + deadline - m.now
	patience := min(int64((0.3+0.1*c.rng.Float64())*float64(deadline)), left)
	if c.tries > m.Redials || left <= 0 {
		return
	}
	var open []*controller
	for range 8 { // a few draws; all may be away
		if one := m.drawController(c.rng); one.open {
			open = append(open, one)
			break
		}
	}
	if len(open) == 0 {
		m.after(int64(500e6), c.try)
		return
	}
	m.ids++
	c.tries++
	id := fmt.Sprintf("%08x%08x", uint32(m.Seed), uint32(m.ids))
	c.id = id
	m.callers[id], c.at = c, open[0]
	m.ledger.Offered(id, m.time())
	open[0].x.Submit(exchange.Setup{ID: id, Owner: "model", Name: "open-log", Tenant: c.tenant, Number: c.number, Dest: c.dest, Retry: c.tries > 1,
		Taken: m.time(), ExpiresAt: time.Unix(0, m.now+patience)}, m)
	open[0].drive()
	m.after(patience+50e6, func() {
		if c.id == id && c.stoodAt == 0 {
			m.ledger.TimedOut(id, "none in time")
		}
	})
}

func (c *caller) worth() float64 {
	switch {
	case c.cut || c.stoodAt == 0:
		return 0
	case c.stoodAt-c.first > aim:
		return late
	}
	return 1
}

// Answer implements exchange.Caller for all callers.
func (m *model) Answer(id string, f exchange.FinalAnswer) {
	m.ledger.Answered(id)
	c := m.callers[id]
	if c == nil || c.id != id {
		return
	}
	if f.Verdict == exchange.Stands {
		c.stoodAt = m.now
		return
	}
	c.again(int64(f.Wait))
}

// again ends a try; the caller dials once more after its own wait, or the told one if that is longer.
func (c *caller) again(told int64) {
	delete(c.m.callers, c.id)
	c.id = ""
	c.m.after(max(int64((0.3+0.7*c.rng.Float64())*1e9), told), c.try)
}

// Release implements exchange.Caller.
func (m *model) Release(id string, cut bool) { m.over(id, cut) }

func (m *model) over(id string, cut bool) {
	if c := m.callers[id]; c != nil && !c.ended {
		c.ended, c.cut = true, cut
		delete(m.callers, id)
	}
}
