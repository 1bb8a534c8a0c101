package exchange

import (
	"container/heap"
	"slices"
	"time"
)

// timer is a function that the core runs at a time.
type timer struct {
	at    int64
	seq   uint64 // orders timers of equal time by when they were set
	fire  func()
	index int // in the heap; -1: it has fired or was stopped
}

// timerHeap orders timers by time; it implements heap.Interface.
type timerHeap []*timer

func (a timerHeap) Len() int { return len(a) }

func (a timerHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a timerHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}

func (a *timerHeap) Push(v any) {
	t := v.(*timer)
	t.index = len(*a)
	*a = append(*a, t)
}

func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	last.index = -1
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// after runs a function in the core after a time.
func (c *core) after(wait time.Duration, fire func()) *timer {
	c.timerSeq++
	t := &timer{at: c.now + int64(wait), seq: c.timerSeq, fire: fire}
	heap.Push(&c.timers, t)
	return t
}

// afterForCall runs a function in the core after a time, unless the call has its answer before or ends.
func (c *core) afterForCall(cl *call, wait time.Duration, do func(*call)) {
	cl.timers = slices.DeleteFunc(cl.timers, func(t *timer) bool { return t.index < 0 })
	cl.timers = append(cl.timers, c.after(wait, func() { do(cl) }))
}

// stopTimers stops the timers of a call. Calls that are cancelled or refused at once arrive by the thousands, and theirs
// would otherwise take memory until their callers' deadlines.
func (c *core) stopTimers(cl *call) {
	for _, t := range cl.timers {
		if t.index >= 0 {
			heap.Remove(&c.timers, t.index)
		}
	}
	cl.timers = nil
}

// tick advances the clock, which never goes back, and runs the timers that are due.
func (c *core) tick() {
	c.now = max(c.now, c.clock().UnixNano())
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(*timer).fire()
	}
}

// untilNextTimer returns the time until the next timer, or an hour where none is set.
func (c *core) untilNextTimer() time.Duration {
	if len(c.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(c.timers[0].at-c.now, 0))
}
