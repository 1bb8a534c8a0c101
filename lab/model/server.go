package model

import (
	"fmt"
	"math/rand/v2"

	"masthill/control"
	"masthill/internal/exchange"
	"masthill/lab/processor"
)

// server is one simulated session server: a modelled processor and its calls.
type server struct {
	model        *model
	id           uint64
	cell         int
	readyAt      int64 // when it started; 0: long ago, so that it is warm
	startedInRun bool  // it started, or came back cold, during the run
	rng          *rand.Rand
	processor    *processor.Processor
	calls        map[string]*serverCall
	draining     bool
	stopped      bool
	silentSince  int64 // when it went silent; 0: it is not silent
	nextWakeAt   int64 // when the processor is advanced next; 0: not scheduled
	loadReport   []float64
	reportedAt   int64
	coldStart    *coldStartTracker // record of its latest start; nil: none yet
}

// serverCall is a set-up or an established call at a server.
type serverCall struct {
	id           string
	attemptIndex int
	controller   *controller
	generation   int // of the controller's process that sent it
	established  bool
}

func (m *model) newServer(cell int, readyAt int64) *server {
	id := uint64(0x1000 + len(m.servers))
	s := &server{model: m, id: id, cell: cell, readyAt: readyAt, startedInRun: readyAt > 0, rng: randomStream(m.Seed, streamServer, len(m.servers)),
		processor: processor.New(m.params, readyAt), calls: map[string]*serverCall{}}
	m.servers = append(m.servers, s)
	return s
}

// name is the server's name in the ledger.
func (s *server) name() string { return fmt.Sprint(s.id) }

// currentReport gives the load report, refreshed every reportInterval: free circuits, all circuits, utilization and queue
// length.
func (s *server) currentReport() []float64 {
	if s.loadReport == nil || s.model.now-s.reportedAt > reportInterval {
		s.reportedAt = s.model.now
		s.loadReport = []float64{float64(circuitsPerServer - len(s.calls)), circuitsPerServer, s.processor.Utilization(), float64(s.processor.QueueLength())}
	}
	return s.loadReport
}

// scheduleAdvance schedules the time when the processor's next work is due.
func (s *server) scheduleAdvance() {
	due := s.processor.NextDue()
	if due == 0 || s.nextWakeAt > s.model.now && s.nextWakeAt <= due {
		return
	}
	s.nextWakeAt = due
	s.model.scheduleAt(due, func() {
		if s.nextWakeAt != due {
			return // an earlier time was scheduled since
		}
		s.nextWakeAt = 0
		s.handleCompleted(s.processor.Advance(s.model.now))
		s.scheduleAdvance()
	})
}

// onInvite handles an attempt that has reached the server.
func (s *server) onInvite(c *controller, generation int, a exchange.Attempt) {
	if s.stopped {
		c.deliver(generation, s.cell, func() { c.exchange.Ended(s.id, a.ID, a.Index, exchange.Result{Outcome: control.ConnectionRefused}) })
		return
	}
	s.model.ledger.AttemptSent(a.ID, c.name(), s.name(), s.model.time())
	if s.model.TrackColdStarts {
		s.recordColdSend(c)
	}
	if s.silentSince > 0 {
		second := int((s.model.now - s.silentSince) / 1e9)
		for len(s.model.sendsToSilent) <= second {
			s.model.sendsToSilent = append(s.model.sendsToSilent, 0)
		}
		s.model.sendsToSilent[second]++
	}
	if s.draining {
		s.model.ledger.AttemptEnded(a.ID, s.name(), false, s.model.time())
		c.deliver(generation, s.cell, func() { c.exchange.Ended(s.id, a.ID, a.Index, exchange.Result{Outcome: control.Unavailable}) })
		return
	}
	taken, wait, done := s.processor.Offer(s.model.now, a.ID)
	s.handleCompleted(done)
	if taken {
		s.calls[a.ID] = &serverCall{id: a.ID, attemptIndex: a.Index, controller: c, generation: generation}
		s.scheduleAdvance()
		return
	}
	s.scheduleAdvance()
	s.model.ledger.AttemptEnded(a.ID, s.name(), false, s.model.time())
	e := exchange.Result{Outcome: control.Saturated, Note: 3, WaitMS: min(wait, 10e9) / 1e6, Report: s.currentReport()}
	c.deliver(generation, s.cell, func() { c.exchange.Ended(s.id, a.ID, a.Index, e) })
}

// onCancel gives up a set-up that is not established yet.
func (s *server) onCancel(id string) {
	if a := s.calls[id]; a != nil && !a.established {
		delete(s.calls, id)
		s.handleCompleted(s.processor.Drop(s.model.now, id))
		s.model.ledger.AttemptEnded(id, s.name(), true, s.model.time())
		s.scheduleAdvance()
	}
}

// onBye starts the release of a call that the controller ended.
func (s *server) onBye(id string) {
	if a := s.calls[id]; a != nil {
		delete(s.calls, id)
		s.handleCompleted(s.processor.Add(s.model.now, processor.Release, id))
		s.scheduleAdvance()
	}
}

// handleCompleted carries on with work that the processor has completed: a set-up goes on to its answer, an answer
// establishes the call and is sent, and a release is reported.
func (s *server) handleCompleted(finished []processor.Completed) {
	for _, d := range finished {
		a := s.calls[d.Call]
		if a == nil {
			continue
		}
		switch d.Step {
		case processor.SetUp:
			s.handleCompleted(s.processor.Add(d.At, processor.Answer, d.Call))
		case processor.Answer:
			a.established = true
			s.model.ledger.AttemptEnded(a.id, s.name(), false, s.model.time())
			if s.model.answerLoss == 0 || s.rng.Float64() >= s.model.answerLoss {
				a.controller.deliver(a.generation, s.cell, func() { a.controller.exchange.Accepted(s.id, a.id, a.attemptIndex, nil) })
			}
			s.model.scheduleAfter(int64(s.rng.ExpFloat64()*float64(meanCallLength)), func() {
				if s.calls[a.id] == a && !s.stopped {
					s.handleCompleted(s.processor.Add(s.model.now, processor.Release, a.id))
					s.scheduleAdvance()
				}
			})
		case processor.Release:
			delete(s.calls, a.id)
			report := s.currentReport()
			c := a.controller
			s.model.scheduleAfter(c.delay(s.cell), func() { // also to a later process, which passes the release on
				if c.exchange == nil {
					s.model.endCall(a.id, false)
					return
				}
				c.exchange.Released(s.id, a.id, false, report)
				c.runDue()
			})
		}
	}
}

// stop ends the server's process and cuts its calls.
func (s *server) stop() {
	s.stopped = true
	s.cutCalls()
}

// crash cuts the calls and restarts the process at once, cold.
func (s *server) crash() {
	s.cutCalls()
	s.readyAt, s.startedInRun = s.model.now, true
	s.processor = processor.New(s.model.params, s.model.now)
}

// cutCalls ends all calls. Controllers learn of lost connections after the transit time.
func (s *server) cutCalls() {
	informed := map[*controller]bool{}
	for _, id := range sortedKeys(s.calls) {
		a := s.calls[id]
		if !a.established {
			s.model.ledger.AttemptEnded(id, s.name(), true, s.model.time())
			a.controller.deliver(a.generation, s.cell, func() {
				a.controller.exchange.Ended(s.id, a.id, a.attemptIndex, exchange.Result{Outcome: control.ConnectionLost})
			})
		}
		if !informed[a.controller] {
			informed[a.controller] = true
			c := a.controller
			c.deliver(a.generation, s.cell, func() { c.exchange.ServerLost(s.id) })
		}
		if a.established && (a.controller.exchange == nil || a.generation != a.controller.generation) { // only its caller has to be informed
			s.model.endCall(id, true)
		}
	}
	s.calls = map[string]*serverCall{}
}
