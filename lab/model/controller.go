package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/control"
	"masthill/control/shared"
	"masthill/internal/exchange"
)

// controller is one instance: the program's own core, driven by the clock.
type controller struct {
	model        *model
	index        int
	generation   int // of its process
	rng          *rand.Rand
	latencies    []int64 // one way to each cell
	exchange     *exchange.Exchange
	inRotation   bool // in the front's rotation
	wakeAt       int64
	lastUpdateAt int64
	offices      map[uint64]exchange.Office // as last told: what a restart begins with
	peers        *shared.Shared             // nil: it talks with nobody
}

func (c *controller) name() string { return fmt.Sprint("n", c.index) }

// up starts a process with nothing but the last list.
func (c *controller) startProcess() error {
	c.generation++
	set := c.model.settings(c.index)
	seed := c.rng.Uint64()
	o := exchange.Options{Settings: set, Seed: seed, Now: c.model.time, Log: c.model.logger, MemoryBytes: 32 << 20,
		OnUnknownRelease: func(id string, cut bool) { c.model.endCall(id, cut) }}
	if c.model.Join != nil {
		o.Join = c.model.Join(set, c.model.Planned, seed, c.model.now)
	}
	x, err := exchange.New(o)
	if err != nil {
		return err
	}
	x.SetOffices(c)
	if c.offices == nil {
		c.offices = map[uint64]exchange.Office{}
		for _, s := range c.model.current {
			c.offices[s.id] = s.listEntry(control.Serving)
		}
	}
	var initial []exchange.Office
	for _, s := range c.model.servers {
		if o, ok := c.offices[s.id]; ok && o.State != control.Removed {
			initial = append(initial, o)
		}
	}
	c.exchange, c.inRotation = x, true
	x.UpdateOffices(initial, true)
	c.runDue()
	c.startPeerTicks(o.Join)
	return nil
}

// restart is a planned one: nothing new comes, what is open is answered, and the process starts anew.
func (c *controller) restart(down int64) {
	if c.exchange == nil || !c.inRotation {
		return
	}
	c.model.restarts++
	c.inRotation = false
	stoppingSince := c.model.now
	var poll func()
	poll = func() {
		if c.exchange.StatusDirect().Open > 0 && c.model.now-stoppingSince < 3300e6 {
			c.model.scheduleAfter(50e6, poll)
			return
		}
		c.exchange.RefuseAllDirect()
		c.runDue()
		c.exchange = nil
		c.model.scheduleAfter(down, func() { c.startProcess() })
	}
	c.model.scheduleAfter(800e6, poll)
}

// kill ends the process at once: callers see their connections end, and servers give up the set-ups on theirs.
func (c *controller) kill(down int64) {
	if c.exchange == nil {
		return
	}
	c.model.restarts++
	c.inRotation, c.exchange = false, nil
	c.model.scheduleAfter(down, func() {
		if c.exchange == nil {
			c.startProcess()
		}
	})
	for _, id := range sortedKeys(c.model.callers) {
		if call := c.model.callers[id]; call.controller == c && call.id == id && call.establishedAt == 0 {
			c.model.ledger.Abandoned(id)
			call.scheduleRedial(0)
		}
	}
	for _, s := range c.model.servers {
		c.sendToServer(s.id, func(s *server) {
			for _, id := range sortedKeys(s.calls) {
				if a := s.calls[id]; a.controller == c && a.generation == c.generation && !a.established {
					s.onCancel(id)
				}
			}
		})
	}
}

// hear takes a change of the list.
func (c *controller) applyUpdate(o exchange.Office) {
	c.offices[o.Server] = o
	if o.State != control.Serving {
		c.model.ledger.DrainAnnounced(c.name(), fmt.Sprint(o.Server), c.model.time())
	} else {
		c.model.ledger.ServingAnnounced(c.name(), fmt.Sprint(o.Server))
	}
	if c.exchange != nil {
		c.exchange.UpdateOffices([]exchange.Office{o}, false)
		c.runDue()
	}
}

// drive has the core do what is due, and plans its next alarm.
func (c *controller) runDue() {
	if c.exchange == nil {
		return
	}
	at := c.model.now + int64(max(c.exchange.RunDue(), 1))
	if c.wakeAt > c.model.now && c.wakeAt <= at {
		return
	}
	c.wakeAt = at
	gen := c.generation
	c.model.scheduleAt(at, func() {
		if c.wakeAt == at && c.generation == gen {
			c.wakeAt = 0
			c.runDue()
		}
	})
}

// delay is the time that something takes to or from a cell now.
func (c *controller) delay(cell int) int64 {
	return c.latencies[cell] + max(c.model.unreachableUntil[cell]-c.model.now, 0)
}

// later has the process of now hear something from a server, after its way.
func (c *controller) deliver(gen, cell int, f func()) {
	c.model.scheduleAfter(c.delay(cell), func() {
		if c.exchange != nil && c.generation == gen {
			f()
			c.runDue()
		}
	})
}

// send has a server hear something after the way.
func (c *controller) sendToServer(id uint64, f func(s *server)) {
	s := c.model.servers[id-0x1000]
	c.model.scheduleAfter(c.delay(s.cell), func() { f(s) })
}

// List implements exchange.Offices.
func (c *controller) UpdateList([]exchange.Office, bool) {}

// Invite implements exchange.Offices.
func (c *controller) Invite(a exchange.Attempt) {
	gen := c.generation
	c.sendToServer(a.Server, func(s *server) { s.onInvite(c, gen, a) })
}

// Cancel implements exchange.Offices.
func (c *controller) Cancel(to uint64, id string, _ int) {
	c.sendToServer(to, func(s *server) { s.onCancel(id) })
}

// Bye implements exchange.Offices.
func (c *controller) Bye(to uint64, id string, _ int, _ bool) {
	c.sendToServer(to, func(s *server) { s.onBye(id) })
}

// Suspect implements exchange.Offices. Connections here never hang by themselves.
func (c *controller) ReportSilence(uint64, time.Time, bool) {}
