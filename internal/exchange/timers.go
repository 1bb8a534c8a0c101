package exchange

import (
	"container/heap"
	"time"
)

// timer is a function that the core runs at a time.
type timer struct {
	at   int64
	seq  uint64 // orders timers of equal time by when they were set
	fire func()
}

// timerHeap orders timers by time; it implements heap.Interface.
type timerHeap []timer

func (a timerHeap) Len() int { return len(a) }

func (a timerHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *timerHeap) Push(v any) { *a = append(*a, v.(timer)) }

func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*a = old[:len(old)-1]
	return last
}

// after runs a function in the core after a time.
func (c *core) after(wait time.Duration, fire func()) {
	c.timerSeq++
	heap.Push(&c.timers, timer{c.now + int64(wait), c.timerSeq, fire})
}

// tick advances the clock, which never goes back, and runs the timers that are due.
func (c *core) tick() {
	c.now = max(c.now, c.clock().UnixNano())
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(timer).fire()
	}
}

// untilNextTimer returns the time until the next timer, or an hour where none is set.
func (c *core) untilNextTimer() time.Duration {
	if len(c.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(c.timers[0].at-c.now, 0))
}
