package check

import (
	"testing"
	"time"
)

// A violation of each rule is detected and described, and a history without violations is not reported.
func TestViolationsAreDetected(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	rules := Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond}
	for _, tc := range []struct {
		name   string
		record func(l *Ledger)
		count  func(b Violations) int
	}{
		{"clean", func(l *Ledger) {
			l.AttemptSent("a", "n0", "s0", at(1))
			l.AttemptEnded("a", "s0", false, at(2))
			l.AttemptSent("a", "n0", "s1", at(3))
			l.AttemptEnded("a", "s1", true, at(10))
			l.AttemptSent("a", "n0", "s0", at(311))
			l.AttemptEnded("a", "s0", false, at(320))
			l.Answered("a")
			l.DrainAnnounced("n0", "s1", at(0))
			l.Offered("b", at(900))
			l.AttemptSent("b", "n0", "s1", at(1040))
			l.Abandoned("b")
			l.TimedOut("b", "its caller left")
			l.TimedOut("a", "")
		}, func(b Violations) int {
			if b.Any() {
				return 0
			}
			return 1
		}},
		{"missing", func(l *Ledger) { l.TimedOut("a", "x") }, func(b Violations) int { return b.MissingAnswers }},
		{"twice", func(l *Ledger) { l.Answered("a"); l.Answered("a") }, func(b Violations) int { return b.DuplicateAnswers }},
		{"overlap", func(l *Ledger) { l.AttemptSent("a", "n0", "s0", at(1)); l.AttemptSent("a", "n0", "s1", at(2)) }, func(b Violations) int { return b.OverlappingAttempts }},
		{"too soon", func(l *Ledger) {
			l.AttemptSent("a", "n0", "s0", at(1))
			l.AttemptEnded("a", "s0", true, at(2))
			l.AttemptSent("a", "n0", "s1", at(200))
		}, func(b Violations) int { return b.TooSoon }},
		{"drained", func(l *Ledger) { l.DrainAnnounced("n0", "s0", at(0)); l.AttemptSent("a", "n0", "s0", at(1051)) }, func(b Violations) int { return b.SendsAfterDrain }},
		{"unasked", func(l *Ledger) { l.AttemptSent("z", "n0", "s0", at(1)) }, func(b Violations) int { return b.UnknownCalls }},
	} {
		l := New(rules)
		l.Offered("a", at(0))
		tc.record(l)
		b, _, _ := l.Result()
		if tc.count(b) != 1 {
			t.Errorf("%s: %+v", tc.name, b)
		}
		if tc.name != "clean" && (!b.Any() || len(b.Descriptions) != 1) {
			t.Errorf("%s is not reported once: %+v", tc.name, b)
		}
	}
}
