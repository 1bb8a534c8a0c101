package exchange

import (
	"container/heap"
	"time"
)

// alarm is one timer of the core.
type alarm struct {
	at   int64
	seq  uint64 // in order of setting, where the times are equal
	fire func()
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }

func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *alarms) Push(v any) { *a = append(*a, v.(alarm)) }

func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return last
}

func (c *core) after(wait time.Duration, fire func()) {
	c.seq++
	heap.Push(&c.alarms, alarm{c.now + int64(wait), c.seq, fire})
}

// tick moves the clock, which never goes back, and rings what is due.
func (c *core) tick() {
	c.now = max(c.now, c.clock().UnixNano())
	for len(c.alarms) > 0 && c.alarms[0].at <= c.now {
		heap.Pop(&c.alarms).(alarm).fire()
	}
}

// rest is the time to the next alarm.
func (c *core) rest() time.Duration {
	if len(c.alarms) == 0 {
		return time.Hour
	}
	return time.Duration(max(c.alarms[0].at-c.now, 0))
}
