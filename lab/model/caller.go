package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/internal/exchange"
)

// caller is one call with all its tries. Times are in simulated nanoseconds.
type caller struct {
	model         *model
	rng           *rand.Rand
	tenant        string
	number        string
	dest          int
	firstTryAt    int64
	tries         int
	id            string      // of the current try; empty between tries
	controller    *controller // that the current try was sent to
	establishedAt int64       // 0: not established
	cut           bool        // the call ended other than by a normal release
	ended         bool
}

// addCaller creates a call with a random tenant, number and destination, and schedules its first try at once.
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

// try sends one set-up to a controller in the rotation. Where none is found, it is repeated after 500 ms.
func (c *caller) try() {
	m := c.model
	remaining := c.firstTryAt + deadline - m.now
	patience := min(int64((0.3+0.1*c.rng.Float64())*float64(deadline)), remaining)
	if c.tries > m.Redials || remaining <= 0 {
		return
	}
	var open []*controller
	for range 8 { // bounded, as no controller may be in the rotation
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
	open[0].exchange.Submit(exchange.Setup{ID: id, Owner: "model", ClassName: "open-log", Tenant: c.tenant, Number: c.number, FirstChoice: c.dest, Redialed: c.tries > 1,
		ReceivedAt: m.time(), ExpiresAt: time.Unix(0, m.now+patience)}, m)
	open[0].runDue()
	m.scheduleAfter(patience+50e6, func() {
		if c.id == id && c.establishedAt == 0 {
			m.ledger.TimedOut(id, "patience exceeded")
		}
	})
}

// value is the value of the call to the caller: 0 if it was cut or never established, lateValue if it was established
// after targetDelay, else 1.
func (c *caller) value() float64 {
	switch {
	case c.cut || c.establishedAt == 0:
		return 0
	case c.establishedAt-c.firstTryAt > targetDelay:
		return lateValue
	}
	return 1
}

// Answer implements exchange.Caller for all callers. An answer to a try that is no longer current only goes to the
// ledger.
func (m *model) Answer(id string, f exchange.FinalAnswer) {
	m.ledger.Answered(id)
	c := m.callers[id]
	if c == nil || c.id != id {
		return
	}
	if f.Kind == exchange.Established {
		c.establishedAt = m.now
		return
	}
	c.scheduleRedial(int64(f.RetryAfter))
}

// scheduleRedial ends the current try and schedules the next one, after 0.3 to 1 s or retryAfter, whichever is longer.
func (c *caller) scheduleRedial(retryAfter int64) {
	delete(c.model.callers, c.id)
	c.id = ""
	c.model.scheduleAfter(max(int64((0.3+0.7*c.rng.Float64())*1e9), retryAfter), c.try)
}

// Release implements exchange.Caller.
func (m *model) Release(id string, cut bool) { m.endCall(id, cut) }

// endCall ends the call that has this ID, if any.
func (m *model) endCall(id string, cut bool) {
	if c := m.callers[id]; c != nil && !c.ended {
		c.ended, c.cut = true, cut
		delete(m.callers, id)
	}
}
