package exchange

import (
	"container/heap"
	"time"
)

// alarm is one timer of the core.
type timer struct {
	at   int64
	seq  uint64 // in order of setting, where the times are equal
	fire func()
}

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

func (c *core) after(wait time.Duration, fire func()) {
	c.timerSeq++
	heap.Push(&c.timers, timer{c.now + int64(wait), c.timerSeq, fire})
}

// tick moves the clock, which never goes back, and rings what is due.
func (c *core) tick() {
	c.now = max(c.now, c.clock().UnixNano())
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(timer).fire()
	}
}

// rest is the time to the next alarm.
func (c *core) untilNextTimer() time.Duration {
	if len(c.timers) == 0 {
		return time.Hour
	}
	return time.Duration(max(c.timers[0].at-c.now, 0))
}
