package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/control"
	"masthill/control/shared"
	"masthill/internal/exchange"
)

// controller is one instance of the program: its real core, driven by the simulated clock.
type controller struct {
	model        *model
	index        int
	generation   int // number of its current process, which drops deliveries to earlier ones
	rng          *rand.Rand
	latencies    []int64                    // one-way latency to each cell, nanoseconds
	exchange     *exchange.Exchange         // nil: no process runs
	inRotation   bool                       // callers' front sends it new calls
	wakeAt       int64                      // time of the next scheduled runDue; 0: none
	lastUpdateAt int64                      // when the latest list update arrives; updates stay in order
	offices      map[uint64]exchange.Office // list of servers as last received; a restarted process begins with it
	peers        *shared.Module             // nil: it exchanges no messages with other controllers
}

func (c *controller) name() string { return fmt.Sprint("n", c.index) }

// startProcess starts a process that knows only the last list of servers.
func (c *controller) startProcess() error {
	c.generation++
	settings := c.model.settings(c.index)
	seed := c.rng.Uint64()
	o := exchange.Options{Settings: settings, Seed: seed, Now: c.model.time, Log: c.model.logger, MemoryBytes: 32 << 20,
		OnUnknownRelease: func(id string, cut bool) { c.model.endCall(id, cut) }}
	if c.model.Join != nil {
		o.Join = c.model.Join(settings, c.model.Planned, seed, c.model.now)
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

// restart is a planned restart: the controller leaves the rotation, has up to 3.3 s to finish its open calls, refuses
// the rest, ends, and starts again after down.
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

// kill ends the process at once. Callers whose connections end redial, and servers give up the open set-ups on theirs.
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

// applyUpdate applies a change of the list of servers.
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

// runDue has the core do what is due, and schedules the next run.
func (c *controller) runDue() {
	if c.exchange == nil {
		return
	}
	at := c.model.now + int64(max(c.exchange.RunDue(), 1))
	if c.wakeAt > c.model.now && c.wakeAt <= at {
		return
	}
	c.wakeAt = at
	generation := c.generation
	c.model.scheduleAt(at, func() {
		if c.wakeAt == at && c.generation == generation {
			c.wakeAt = 0
			c.runDue()
		}
	})
}

// delay is the present transit time to or from a cell.
func (c *controller) delay(cell int) int64 {
	return c.latencies[cell] + max(c.model.unreachableUntil[cell]-c.model.now, 0)
}

// deliver runs f after the transit time from the cell, if the process of this generation still runs then.
func (c *controller) deliver(generation, cell int, f func()) {
	c.model.scheduleAfter(c.delay(cell), func() {
		if c.exchange != nil && c.generation == generation {
			f()
			c.runDue()
		}
	})
}

// sendToServer runs f on the server after the transit time.
func (c *controller) sendToServer(id uint64, f func(s *server)) {
	s := c.model.servers[id-0x1000]
	c.model.scheduleAfter(c.delay(s.cell), func() { f(s) })
}

// UpdateList implements exchange.Offices.
func (c *controller) UpdateList([]exchange.Office, bool) {}

// Invite implements exchange.Offices.
func (c *controller) Invite(a exchange.Attempt) {
	generation := c.generation
	c.sendToServer(a.Server, func(s *server) { s.onInvite(c, generation, a) })
}

// Cancel implements exchange.Offices.
func (c *controller) Cancel(to uint64, id string, _ int) {
	c.sendToServer(to, func(s *server) { s.onCancel(id) })
}

// Bye implements exchange.Offices.
func (c *controller) Bye(to uint64, id string, _ int, _ bool) {
	c.sendToServer(to, func(s *server) { s.onBye(id) })
}

// ReportSilence implements exchange.Offices. Simulated connections never hang by themselves.
func (c *controller) ReportSilence(uint64, time.Time, bool) {}
