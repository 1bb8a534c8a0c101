// Package model simulates session controllers, session servers and callers on a simulated clock, at sizes that real sockets
// do not reach. It runs the program's own core and decision modules unchanged; only the network, the processors and the
// callers are models. Runs with the same seed are equal, event for event.
package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	at  int64
	seq uint64 // orders events of equal time by when they were scheduled
	run func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock is the simulated time with the queue of scheduled events.
type clock struct {
	now       int64 // Unix nanoseconds
	seq       uint64
	queue     events
	processed uint64 // events run so far
}

// start is an arbitrary time at which every run begins.
const start = int64(1_800_000_000e9)

func (c *clock) time() time.Time { return time.Unix(0, c.now) }

// scheduleAt schedules a function. One scheduled for the past runs at the present time.
func (c *clock) scheduleAt(t int64, do func()) {
	c.seq++
	heap.Push(&c.queue, event{max(t, c.now), c.seq, do})
}

func (c *clock) scheduleAfter(d int64, do func()) { c.scheduleAt(c.now+d, do) }

// run runs all events up to a time, and sets the clock to it.
func (c *clock) run(until int64) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.processed++
		e.run()
	}
	c.now = until
}

// Kinds of random streams. Each party draws from a stream of its own, so that a change to one does not affect the draws of
// the others.
const (
	streamSite = iota
	streamCallers
	streamServer
	streamController
	streamFault
)

func randomStream(seed uint64, kind, n int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(kind)<<32|uint64(n)))
}
