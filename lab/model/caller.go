package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/internal/exchange"
)

// caller is one call with all its tries.
type caller struct {
	model         *model
	rng           *rand.Rand
	tenant        string
	number        string
	dest          int
	firstTryAt    int64
	tries         int
	id            string // of the try under way
	controller    *controller
	establishedAt int64
	cut           bool
	ended         bool
}

// caller makes a call; its first try follows at once.
func (m *model) addCaller() *caller {
	c := &caller{model: m, rng: rand.New(rand.NewPCG(m.rng.Uint64(), 7)), firstTryAt: m.now}
	u := c.rng.Float64()
	for _, t := range tenants {
		if c.tenant = t.name; u < t.share {
			break
		}
		u -= t.share
	}
	c.number, c.dest = fmt.Sprintf("%016x", c.rng.Uint64()), c.rng.IntN(m.Servers)
	m.allCallers = append(m.allCallers, c)
	m.scheduleAfter(0, c.try)
	return c
}

func (c *caller) try() {
	m := c.model
	remaining := c.firstTryAt + deadline - m.now
	patience := min(int64((0.3+0.1*c.rng.Float64())*float64(deadline)), remaining)
	if c.tries > m.Redials || remaining <= 0 {
		return
	}
	var open []*controller
	for range 8 { // a few draws; all may be away
		if candidate := m.drawController(c.rng); candidate.inRotation {
			open = append(open, candidate)
			break
		}
	}
	if len(open) == 0 {
		m.scheduleAfter(int64(500e6), c.try)
		return
	}
	m.lastID++
	c.tries++
	id := fmt.Sprintf("%08x%08x", uint32(m.Seed), uint32(m.lastID))
	c.id = id
	m.callers[id], c.controller = c, open[0]
	m.ledger.Offered(id, m.time())
	open[0].exchange.Submit(exchange.Setup{ID: id, Owner: "model", Name: "open-log", Tenant: c.tenant, Number: c.number, Dest: c.dest, Retry: c.tries > 1,
		Taken: m.time(), ExpiresAt: time.Unix(0, m.now+patience)}, m)
	open[0].runDue()
	m.scheduleAfter(patience+50e6, func() {
		if c.id == id && c.establishedAt == 0 {
			m.ledger.TimedOut(id, "none in time")
		}
	})
}

func (c *caller) worth() float64 {
	switch {
	case c.cut || c.establishedAt == 0:
		return 0
	case c.establishedAt-c.firstTryAt > targetDelay:
		return lateValue
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
		c.establishedAt = m.now
		return
	}
	c.scheduleRedial(int64(f.Wait))
}

// again ends a try; the caller dials once more after its own wait, or the told one if that is longer.
func (c *caller) scheduleRedial(retryAfter int64) {
	delete(c.model.callers, c.id)
	c.id = ""
	c.model.scheduleAfter(max(int64((0.3+0.7*c.rng.Float64())*1e9), retryAfter), c.try)
}

// Release implements exchange.Caller.
func (m *model) Release(id string, cut bool) { m.endCall(id, cut) }

func (m *model) endCall(id string, cut bool) {
	if c := m.callers[id]; c != nil && !c.ended {
		c.ended, c.cut = true, cut
		delete(m.callers, id)
	}
}
