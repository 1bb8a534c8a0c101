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
	m       *model
	n       int
	gen     int // of its process
	rng     *rand.Rand
	way     []int64 // one way to each cell
	x       *exchange.Exchange
	open    bool // in the front's rotation
	woke    int64
	heardAt int64
	list    map[uint64]exchange.Office // as last told: what a restart begins with
	peer    *shared.Shared             // nil: it talks with nobody
}

func (c *controller) name() string { return fmt.Sprint("n", c.n) }

// up starts a process with nothing but the last list.
func (c *controller) up() error {
	c.gen++
	set := c.m.settings(c.n)
	seed := c.rng.Uint64()
	o := exchange.Options{Settings: set, Seed: seed, Now: c.m.time, Log: c.m.discard, MemoryBytes: 32 << 20,
		OnUnknownRelease: func(id string, cut bool) { c.m.over(id, cut) }}
	if c.m.Join != nil {
		o.Join = c.m.Join(set, c.m.Planned, seed, c.m.now)
	}
	x, err := exchange.New(o)
	if err != nil {
		return err
	}
	x.SetOffices(c)
	if c.list == nil {
		c.list = map[uint64]exchange.Office{}
		for _, s := range c.m.listed {
			c.list[s.id] = s.office(control.Serving)
		}
	}
	var first []exchange.Office
	for _, s := range c.m.servers {
		if o, ok := c.list[s.id]; ok && o.State != control.Removed {
			first = append(first, o)
		}
	}
	c.x, c.open = x, true
	x.UpdateOffices(first, true)
	c.drive()
	c.talk(o.Join)
	return nil
}

// restart is a planned one: nothing new comes, what is open is answered, and the process starts anew.
func (c *controller) restart(down int64) {
	if c.x == nil || !c.open {
		return
	}
	c.m.restarts++
	c.open = false
	began := c.m.now
	var wait func()
	wait = func() {
		if c.x.StatusDirect().Open > 0 && c.m.now-began < 3300e6 {
			c.m.after(50e6, wait)
			return
		}
		c.x.RefuseAllDirect()
		c.drive()
		c.x = nil
		c.m.after(down, func() { c.up() })
	}
	c.m.after(800e6, wait)
}

// kill ends the process at once: callers see their connections end, and servers give up the set-ups on theirs.
func (c *controller) kill(down int64) {
	if c.x == nil {
		return
	}
	c.m.restarts++
	c.open, c.x = false, nil
	c.m.after(down, func() {
		if c.x == nil {
			c.up()
		}
	})
	for _, id := range byName(c.m.callers) {
		if one := c.m.callers[id]; one.at == c && one.id == id && one.stoodAt == 0 {
			c.m.ledger.Abandoned(id)
			one.again(0)
		}
	}
	for _, s := range c.m.servers {
		c.send(s.id, func(s *server) {
			for _, id := range byName(s.calls) {
				if a := s.calls[id]; a.from == c && a.gen == c.gen && !a.stands {
					s.cancel(id)
				}
			}
		})
	}
}

// hear takes a change of the list.
func (c *controller) hear(o exchange.Office) {
	c.list[o.Server] = o
	if o.State != control.Serving {
		c.m.ledger.DrainAnnounced(c.name(), fmt.Sprint(o.Server), c.m.time())
	} else {
		c.m.ledger.ServingAnnounced(c.name(), fmt.Sprint(o.Server))
	}
	if c.x != nil {
		c.x.UpdateOffices([]exchange.Office{o}, false)
		c.drive()
	}
}

// drive has the core do what is due, and plans its next alarm.
func (c *controller) drive() {
	if c.x == nil {
		return
	}
	at := c.m.now + int64(max(c.x.RunDue(), 1))
	if c.woke > c.m.now && c.woke <= at {
		return
	}
	c.woke = at
	gen := c.gen
	c.m.at(at, func() {
		if c.woke == at && c.gen == gen {
			c.woke = 0
			c.drive()
		}
	})
}

// delay is the time that something takes to or from a cell now.
func (c *controller) delay(cell int) int64 {
	return c.way[cell] + max(c.m.cutUntil[cell]-c.m.now, 0)
}

// later has the process of now hear something from a server, after its way.
func (c *controller) later(gen, cell int, f func()) {
	c.m.after(c.delay(cell), func() {
		if c.x != nil && c.gen == gen {
			f()
			c.drive()
		}
	})
}

// send has a server hear something after the way.
func (c *controller) send(id uint64, f func(s *server)) {
	s := c.m.servers[id-0x1000]
	c.m.after(c.delay(s.cell), func() { f(s) })
}

// List implements exchange.Offices.
func (c *controller) UpdateList([]exchange.Office, bool) {}

// Invite implements exchange.Offices.
func (c *controller) Invite(a exchange.Attempt) {
	gen := c.gen
	c.send(a.Server, func(s *server) { s.setup(c, gen, a) })
}

// Cancel implements exchange.Offices.
func (c *controller) Cancel(to uint64, id string, _ int) {
	c.send(to, func(s *server) { s.cancel(id) })
}

// Bye implements exchange.Offices.
func (c *controller) Bye(to uint64, id string, _ int, _ bool) {
	c.send(to, func(s *server) { s.bye(id) })
}

// Suspect implements exchange.Offices. Connections here never hang by themselves.
func (c *controller) ReportSilence(uint64, time.Time, bool) {}
