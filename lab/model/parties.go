package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masthill/control"
	"masthill/control/shared"
	"masthill/internal/exchange"
	"masthill/lab/processor"
)

// server is one session server: a modelled processor and the calls that it has.
type server struct {
	m        *model
	id       uint64
	cell     int
	ready    int64 // start, 0: long ago
	cold     bool  // it started during the run
	rng      *rand.Rand
	proc     *processor.Processor
	calls    map[string]*atServer
	drains   bool
	gone     bool
	silentAt int64 // since when; 0: it is not silent
	due      int64 // a look at the processor is planned for then
	report   []float64
	reportA  int64
	watch    *coldWatch // of its latest start; nil: none yet
}

type atServer struct {
	id     string
	n      int
	from   *controller
	gen    int // of the controller's process
	stands bool
}

func (m *model) newServer(cell int, ready int64) *server {
	id := uint64(0x1000 + len(m.servers))
	s := &server{m: m, id: id, cell: cell, ready: ready, cold: ready > 0, rng: stream(m.Seed, streamServer, len(m.servers)),
		proc: processor.New(m.params, ready), calls: map[string]*atServer{}}
	m.servers = append(m.servers, s)
	return s
}

// name is the server's in the ledger.
func (s *server) name() string { return fmt.Sprint(s.id) }

func (s *server) state() []float64 {
	if s.report == nil || s.m.now-s.reportA > reportEvery {
		s.reportA = s.m.now
		s.report = []float64{float64(circuits - len(s.calls)), circuits, s.proc.Util(), float64(s.proc.Queue())}
	}
	return s.report
}

// wake plans the next look at the processor.
func (s *server) wake() {
	due := s.proc.Due()
	if due == 0 || s.due > s.m.now && s.due <= due {
		return
	}
	s.due = due
	s.m.at(due, func() {
		if s.due != due {
			return // another look came before
		}
		s.due = 0
		s.done(s.proc.Advance(s.m.now))
		s.wake()
	})
}

// setup takes an attempt that has reached the server.
func (s *server) setup(c *controller, gen int, a exchange.Attempt) {
	if s.gone {
		c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.N, exchange.Ending{Outcome: control.RefusedConn}) })
		return
	}
	s.m.ledger.Sent(a.ID, c.name(), s.name(), s.m.time())
	if s.m.WatchCold {
		s.watchCold(c)
	}
	if s.silentAt > 0 {
		k := int((s.m.now - s.silentAt) / 1e9)
		for len(s.m.silentSends) <= k {
			s.m.silentSends = append(s.m.silentSends, 0)
		}
		s.m.silentSends[k]++
	}
	if s.drains {
		s.m.ledger.Ended(a.ID, s.name(), false, s.m.time())
		c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.N, exchange.Ending{Outcome: control.Superseded}) })
		return
	}
	taken, wait, done := s.proc.Offer(s.m.now, a.ID)
	s.done(done)
	if taken {
		s.calls[a.ID] = &atServer{id: a.ID, n: a.N, from: c, gen: gen}
		s.wake()
		return
	}
	s.wake()
	s.m.ledger.Ended(a.ID, s.name(), false, s.m.time())
	e := exchange.Ending{Outcome: control.Saturated, Note: 3, WaitMS: min(wait, 10e9) / 1e6, Report: s.state()}
	c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.N, e) })
}

func (s *server) cancel(id string) {
	if a := s.calls[id]; a != nil && !a.stands {
		delete(s.calls, id)
		s.done(s.proc.Drop(s.m.now, id))
		s.m.ledger.Ended(id, s.name(), true, s.m.time())
		s.wake()
	}
}

func (s *server) bye(id string) {
	if a := s.calls[id]; a != nil {
		delete(s.calls, id)
		s.done(s.proc.Add(s.m.now, processor.Release, id))
		s.wake()
	}
}

// done takes finished work.
func (s *server) done(finished []processor.Done) {
	for _, d := range finished {
		a := s.calls[d.Call]
		if a == nil {
			continue
		}
		switch d.Step {
		case processor.SetUp:
			s.done(s.proc.Add(d.At, processor.Answer, d.Call))
		case processor.Answer:
			a.stands = true
			s.m.ledger.Ended(a.id, s.name(), false, s.m.time())
			if s.m.lossy == 0 || s.rng.Float64() >= s.m.lossy {
				a.from.later(a.gen, s.cell, func() { a.from.x.Stood(s.id, a.id, a.n, nil) })
			}
			s.m.after(int64(s.rng.ExpFloat64()*float64(hold)), func() {
				if s.calls[a.id] == a && !s.gone {
					s.done(s.proc.Add(s.m.now, processor.Release, a.id))
					s.wake()
				}
			})
		case processor.Release:
			delete(s.calls, a.id)
			report := s.state()
			c := a.from
			s.m.after(c.delay(s.cell), func() { // also to the process after a restart: it passes it on
				if c.x == nil {
					s.m.over(a.id, false)
					return
				}
				c.x.Released(s.id, a.id, false, report)
				c.drive()
			})
		}
	}
}

// stop ends the server's process: calls are cut.
func (s *server) stop() {
	s.gone = true
	s.cut()
}

// crash ends it and starts it again at once, cold.
func (s *server) crash() {
	s.cut()
	s.ready, s.cold = s.m.now, true
	s.proc = processor.New(s.m.params, s.m.now)
}

func (s *server) cut() {
	told := map[*controller]bool{}
	for _, id := range byName(s.calls) {
		a := s.calls[id]
		if !a.stands {
			s.m.ledger.Ended(id, s.name(), true, s.m.time())
			a.from.later(a.gen, s.cell, func() { a.from.x.Ended(s.id, a.id, a.n, exchange.Ending{Outcome: control.Severed}) })
		}
		if !told[a.from] {
			told[a.from] = true
			c := a.from
			c.later(a.gen, s.cell, func() { c.x.Lost(s.id) })
		}
		if a.stands && (a.from.x == nil || a.gen != a.from.gen) { // nobody knows of it any more but its caller
			s.m.over(id, true)
		}
	}
	s.calls = map[string]*atServer{}
}

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
	o := exchange.Options{Settings: set, Seed: seed, Now: c.m.time, Log: c.m.discard, Memory: 32 << 20,
		Stray: func(id string, cut bool) { c.m.over(id, cut) }}
	if c.m.Join != nil {
		o.Join = c.m.Join(set, c.m.Planned, seed, c.m.now)
	}
	x, err := exchange.New(o)
	if err != nil {
		return err
	}
	x.Connect(c)
	if c.list == nil {
		c.list = map[uint64]exchange.Office{}
		for _, s := range c.m.listed {
			c.list[s.id] = s.office(control.In)
		}
	}
	var first []exchange.Office
	for _, s := range c.m.servers {
		if o, ok := c.list[s.id]; ok && o.State != control.Out {
			first = append(first, o)
		}
	}
	c.x, c.open = x, true
	x.Members(first, true)
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
		if c.x.Peek().Open > 0 && c.m.now-began < 3300e6 {
			c.m.after(50e6, wait)
			return
		}
		c.x.RefuseAllNow()
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
			c.m.ledger.Left(id)
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
	if o.State != control.In {
		c.m.ledger.Told(c.name(), fmt.Sprint(o.Server), c.m.time())
	} else {
		c.m.ledger.Listed(c.name(), fmt.Sprint(o.Server))
	}
	if c.x != nil {
		c.x.Members([]exchange.Office{o}, false)
		c.drive()
	}
}

// drive has the core do what is due, and plans its next alarm.
func (c *controller) drive() {
	if c.x == nil {
		return
	}
	at := c.m.now + int64(max(c.x.Drive(), 1))
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
func (c *controller) List([]exchange.Office, bool) {}

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
func (c *controller) Suspect(uint64, time.Time, bool) {}

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
	open[0].x.Arrive(exchange.Setup{ID: id, Owner: "model", Name: "open-log", Tenant: c.tenant, Number: c.number, Dest: c.dest, Retry: c.tries > 1,
		Taken: m.time(), Until: time.Unix(0, m.now+patience)}, m)
	open[0].drive()
	m.after(patience+50e6, func() {
		if c.id == id && c.stoodAt == 0 {
			m.ledger.Overdue(id, "none in time")
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
func (m *model) Answer(id string, f exchange.Final) {
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
