package count

import (
	"testing"

	"pgregory.net/rapid"
)

const key = "offered/slaney-vines"

// eventLog holds the times of what a process really counted.
type eventLog struct {
	at []int64
}

func (t *eventLog) in(from, to int64) (n int64) {
	for _, at := range t.at {
		if at > from && at <= to {
			n++
		}
	}
	return n
}

func TestBoundsHoldAndNothingCountsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Window: 10e9, MaxDelay: 2e9, MaxRate: 100}
		type process struct {
			set *Set
			eventLog
			sentFast bool
		}
		type delivery struct {
			at int64
			m  Message
		}
		now := int64(1e12)
		reader := New(c, Source{"reader", 1}, now)
		own := eventLog{}
		var all, live []*process
		epoch := uint64(10)
		startProcess := func(name string) *process {
			epoch++
			p := &process{set: New(c, Source{name, epoch}, now)}
			all, live = append(all, p), append(live, p)
			return p
		}
		startProcess("a")
		startProcess("b")
		startProcess("c")
		var inTransit []delivery
		var received []Message
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.Int64Range(10e6, 300e6).Draw(t, "gap")
			for k := 0; k < len(inTransit); k++ {
				if inTransit[k].at <= now {
					reader.Receive(inTransit[k].at, inTransit[k].m) // all events of one step come before the next step
					received = append(received, inTransit[k].m)
					inTransit = append(inTransit[:k], inTransit[k+1:]...)
					k--
				}
			}
			k := rapid.IntRange(0, len(live)-1).Draw(t, "who")
			p := live[k]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3:
				p.set.Add(key, 1)
				p.at = append(p.at, now)
			case 4:
				reader.Add(key, 1)
				own.at = append(own.at, now)
			case 5, 6, 7:
				m := p.set.Broadcast(now)
				most := int64(8e9) // delayed by a paused process, for example: only the fastest message is bounded
				if !p.sentFast {
					most, p.sentFast = 2e9-400e6, true
				}
				inTransit = append(inTransit, delivery{now + rapid.Int64Range(0, most).Draw(t, "delay"), m})
				reader.Broadcast(now)
			case 8: // a restart, with or without its old directory: no counts are stored in it
				live = append(live[:k], live[k+1:]...)
				startProcess(p.set.own.Name)
			case 9:
				if len(received) > 0 { // an old message is received again, however late
					reader.Receive(now, received[rapid.IntRange(0, len(received)-1).Draw(t, "old")])
				}
			}
			window := rapid.Int64Range(1e9, 10e9).Draw(t, "window")
			r := reader.Read(now, key, window)
			real := own.in(now-window, now)
			for _, p := range all {
				if h := reader.sources[p.set.own]; h != nil && h.settled && now-last(reader, p.set.own) <= reader.silenceTimeout() {
					real += p.in(now-window, now)
				}
			}
			if r.LowerBound > real || real > r.UpperBound {
				t.Fatalf("%d counted in the window, read %+v", real, r)
			}
		}
	})
}

func last(s *Set, of Source) int64 {
	h := s.sources[of]
	return h.samples[len(h.samples)-1].at
}

func TestReadingOfAFleet(t *testing.T) {
	c := Config{Window: 10e9, MaxDelay: 1e9, MaxRate: 50}
	now := int64(0)
	var all []*Set
	for k := range 20 {
		all = append(all, New(c, Source{string(rune('a' + k)), uint64(k)}, now))
	}
	for now < 30e9 {
		now += 100e6
		for k, s := range all {
			s.Add(key, 1) // 200 a second in all
			if now/100e6%5 == int64(k)%5 {
				m := s.Broadcast(now)
				for _, other := range all {
					other.Receive(now+20e6, m)
				}
			}
		}
	}
	r := all[3].Read(now, key, 5e9)
	if r.Processes != 20 || r.AgeMS > 500 || r.Value < 920 || r.Value > 1010 {
		t.Errorf("%+v, and 1,000 were counted", r)
	}
	if r = all[3].Read(now+14.5e9, key, 5e9); r.Processes != 1 {
		t.Errorf("silent processes are still included: %+v", r)
	}
	if keys := all[3].Keys("offered/"); len(keys) != 1 || len(all[3].Keys("refused/")) != 0 {
		t.Errorf("keys %v", keys)
	}
}

func TestInvalidMessagesAreIgnored(t *testing.T) {
	s := New(Config{}, Source{"a", 1}, 0)
	s.Receive(1e9, Message{From: Source{"a", 1}, Counts: map[string]int64{key: 9}}) // its own name and epoch
	s.Receive(1e9, Message{From: Source{"b", 2}, UptimeMS: -5, Counts: map[string]int64{key: 9}})
	s.Receive(1e9, Message{From: Source{"b", 3}, UptimeMS: 10, Counts: map[string]int64{key: 1 << 60, "x": -4}})
	if r := s.Read(1e9, key, 1e9); r.Value != 0 || r.LowerBound != 0 {
		t.Errorf("%+v", r)
	}
	s.Receive(1e9, Message{From: Source{"c", 1}, UptimeMS: 100, Counts: map[string]int64{key: 7}})
	if r := s.Read(1e9, key, 1e9); r.Processes != 1 || r.Value != 7 {
		t.Errorf("in the bounds at once, or not in the estimate: %+v", r)
	}
	s.Receive(4e9, Message{From: Source{"c", 1}, UptimeMS: 200, Counts: map[string]int64{key: 3}}) // counts never decrease
	if got := s.KnownCounts(4e9); got[len(got)-1].Counts[key] != 7 {
		t.Errorf("a count decreased: %+v", got)
	}
	for k := range 3000 {
		s.Receive(2e9, Message{From: Source{"many", uint64(k)}, UptimeMS: 1})
	}
	if len(s.sources) > maxSources {
		t.Errorf("%d sources kept", len(s.sources))
	}
}
