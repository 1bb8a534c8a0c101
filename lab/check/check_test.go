package check

import (
	"testing"
	"time"
)

// Each rule, broken on purpose, is caught; a clean history is not.
func TestEachRuleIsCaught(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	rules := Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond}
	for _, tc := range []struct {
		name string
		do   func(l *Ledger)
		of   func(b Broken) int
	}{
		{"clean", func(l *Ledger) {
			l.Sent("a", "n0", "s0", at(1))
			l.Ended("a", "s0", false, at(2))
			l.Sent("a", "n0", "s1", at(3))
			l.Ended("a", "s1", true, at(10))
			l.Sent("a", "n0", "s0", at(311))
			l.Ended("a", "s0", false, at(320))
			l.Answered("a")
			l.Told("n0", "s1", at(0))
			l.Offered("b", at(900))
			l.Sent("b", "n0", "s1", at(1040))
			l.Left("b")
			l.Overdue("b", "its caller left")
			l.Overdue("a", "")
		}, func(b Broken) int {
			if b.Any() {
				return 0
			}
			return 1
		}},
		{"missing", func(l *Ledger) { l.Overdue("a", "x") }, func(b Broken) int { return b.Missing }},
		{"twice", func(l *Ledger) { l.Answered("a"); l.Answered("a") }, func(b Broken) int { return b.Twice }},
		{"overlap", func(l *Ledger) { l.Sent("a", "n0", "s0", at(1)); l.Sent("a", "n0", "s1", at(2)) }, func(b Broken) int { return b.Overlaps }},
		{"too soon", func(l *Ledger) {
			l.Sent("a", "n0", "s0", at(1))
			l.Ended("a", "s0", true, at(2))
			l.Sent("a", "n0", "s1", at(200))
		}, func(b Broken) int { return b.TooSoon }},
		{"drained", func(l *Ledger) { l.Told("n0", "s0", at(0)); l.Sent("a", "n0", "s0", at(1051)) }, func(b Broken) int { return b.Drained }},
		{"unasked", func(l *Ledger) { l.Sent("z", "n0", "s0", at(1)) }, func(b Broken) int { return b.Unasked }},
	} {
		l := New(rules)
		l.Offered("a", at(0))
		tc.do(l)
		b, _, _ := l.Result()
		if tc.of(b) != 1 {
			t.Errorf("%s: %+v", tc.name, b)
		}
		if tc.name != "clean" && (!b.Any() || len(b.Texts) != 1) {
			t.Errorf("%s is not told: %+v", tc.name, b)
		}
	}
}
