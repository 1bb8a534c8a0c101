package model

import (
	"fmt"
	"math/rand/v2"

	"masthill/control"
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
		s.report = []float64{float64(circuits - len(s.calls)), circuits, s.proc.Utilization(), float64(s.proc.QueueLength())}
	}
	return s.report
}

// wake plans the next look at the processor.
func (s *server) wake() {
	due := s.proc.NextDue()
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
		c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.Index, exchange.Result{Outcome: control.ConnectionRefused}) })
		return
	}
	s.m.ledger.AttemptSent(a.ID, c.name(), s.name(), s.m.time())
	if s.m.TrackColdStarts {
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
		s.m.ledger.AttemptEnded(a.ID, s.name(), false, s.m.time())
		c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.Index, exchange.Result{Outcome: control.Unavailable}) })
		return
	}
	taken, wait, done := s.proc.Offer(s.m.now, a.ID)
	s.done(done)
	if taken {
		s.calls[a.ID] = &atServer{id: a.ID, n: a.Index, from: c, gen: gen}
		s.wake()
		return
	}
	s.wake()
	s.m.ledger.AttemptEnded(a.ID, s.name(), false, s.m.time())
	e := exchange.Result{Outcome: control.Saturated, Note: 3, WaitMS: min(wait, 10e9) / 1e6, Report: s.state()}
	c.later(gen, s.cell, func() { c.x.Ended(s.id, a.ID, a.Index, e) })
}

func (s *server) cancel(id string) {
	if a := s.calls[id]; a != nil && !a.stands {
		delete(s.calls, id)
		s.done(s.proc.Drop(s.m.now, id))
		s.m.ledger.AttemptEnded(id, s.name(), true, s.m.time())
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
func (s *server) done(finished []processor.Completed) {
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
			s.m.ledger.AttemptEnded(a.id, s.name(), false, s.m.time())
			if s.m.lossy == 0 || s.rng.Float64() >= s.m.lossy {
				a.from.later(a.gen, s.cell, func() { a.from.x.Accepted(s.id, a.id, a.n, nil) })
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
			s.m.ledger.AttemptEnded(id, s.name(), true, s.m.time())
			a.from.later(a.gen, s.cell, func() { a.from.x.Ended(s.id, a.id, a.n, exchange.Result{Outcome: control.ConnectionLost}) })
		}
		if !told[a.from] {
			told[a.from] = true
			c := a.from
			c.later(a.gen, s.cell, func() { c.x.ServerLost(s.id) })
		}
		if a.stands && (a.from.x == nil || a.gen != a.from.gen) { // nobody knows of it any more but its caller
			s.m.over(id, true)
		}
	}
	s.calls = map[string]*atServer{}
}
