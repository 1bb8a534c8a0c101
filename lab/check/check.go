// Package check is the ledger that stand-ins and callers write what they saw to, and the checker of the rules over it:
// one final answer a call and in time, one attempt out at a time, the release wait, no new work to a draining server.
// It knows nothing of what the program believes.
package check

import (
	"fmt"
	"sync"
	"time"
)

// Rules are the figures of the rules.
type Rules struct {
	ReleaseWait time.Duration // after an attempt that was given up or cut
	DrainGrace  time.Duration // after an instance was told
	Slack       time.Duration // on sockets every limit is so much longer
}

// Ledger is what was seen. It may be used from many goroutines.
type Ledger struct {
	rules Rules
	mu    sync.Mutex
	calls map[string]*entry
	told  map[string]time.Time // instance and server: when it was told of a drain
	Violations
}

// Broken counts what broke a rule; the texts are of the first few.
type Violations struct {
	MissingAnswers      int      `json:"answers_missing"`
	DuplicateAnswers    int      `json:"answers_twice"`
	OverlappingAttempts int      `json:"attempts_overlapping"`
	TooSoon             int      `json:"attempts_too_soon"`
	SendsAfterDrain     int      `json:"sends_after_drain"`
	UnknownCalls        int      `json:"attempts_unasked"` // of calls that no caller made, or that are over
	Descriptions        []string `json:"broken,omitempty"`
}

// Any tells whether anything broke.
func (b Violations) Any() bool {
	return b.MissingAnswers+b.DuplicateAnswers+b.OverlappingAttempts+b.TooSoon+b.SendsAfterDrain+b.UnknownCalls > 0
}

type entry struct {
	offered  time.Time
	answers  int
	left     bool // its caller gave it up, or its connection ended with it: nothing is owed any more
	out      string
	attempts int
	clearAt  time.Time
}

const textsMost = 20

// New makes a ledger.
func New(r Rules) *Ledger {
	return &Ledger{rules: r, calls: map[string]*entry{}, told: map[string]time.Time{}}
}

func (l *Ledger) broke(n *int, format string, a ...any) {
	*n++
	if len(l.Descriptions) < textsMost {
		l.Descriptions = append(l.Descriptions, fmt.Sprintf(format, a...))
	}
}

// Offered notes a call that was written whole to an instance.
func (l *Ledger) Offered(call string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call] = &entry{offered: at}
}

// Answered notes a final answer that a caller read.
func (l *Ledger) Answered(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil {
		if e.answers++; e.answers > 1 {
			l.broke(&l.DuplicateAnswers, "call %s has %d answers", call, e.answers)
		}
	}
}

// Left notes that a call is given up by its caller, or that the instance that had it was killed.
func (l *Ledger) Abandoned(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil {
		e.left = true
	}
}

// Overdue notes that a caller's time is up without an answer.
func (l *Ledger) TimedOut(call, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil && e.answers == 0 && !e.left {
		e.left = true
		l.broke(&l.MissingAnswers, "call %s has no answer: %s", call, why)
	}
}

// Told notes that an instance was told that a server drains or is gone.
func (l *Ledger) DrainAnnounced(instance, server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[instance+" "+server] = at
}

// Listed notes that an instance was told that a server takes work again.
func (l *Ledger) ServingAnnounced(instance, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.told, instance+" "+server)
}

// Sent notes an attempt that reached a server whole.
func (l *Ledger) AttemptSent(call, instance, server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.calls[call]
	if e == nil {
		l.broke(&l.UnknownCalls, "attempt of the unknown call %s", call)
		return
	}
	if e.out != "" {
		l.broke(&l.OverlappingAttempts, "call %s goes to %s while out at %s", call, server, e.out)
	}
	if at.Before(e.clearAt.Add(-l.rules.Slack)) {
		l.broke(&l.TooSoon, "call %s again %v too soon", call, e.clearAt.Sub(at))
	}
	if told, ok := l.told[instance+" "+server]; ok && at.After(told.Add(l.rules.DrainGrace+l.rules.Slack)) {
		l.broke(&l.SendsAfterDrain, "call %s to %s, %v after %s was told", call, server, at.Sub(told), instance)
	}
	e.out = server
	e.attempts++
}

// Ended notes that a server wrote an attempt's end, or that it was given up (which makes the release wait due).
func (l *Ledger) AttemptEnded(call, server string, givenUp bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.calls[call]
	if e == nil || e.out != server {
		return
	}
	e.out = ""
	if givenUp {
		e.clearAt = at.Add(l.rules.ReleaseWait)
	}
}

// Result gives what broke so far, and the calls and attempts seen.
func (l *Ledger) Result() (b Violations, calls, attempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.calls {
		attempts += e.attempts
	}
	return l.Violations, len(l.calls), attempts
}
