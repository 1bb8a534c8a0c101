// Package check has the ledger in which simulated servers and callers record what they observe, and which checks the
// rules: one final answer per call and in time, one outstanding attempt at a time, the release wait, and no new work to
// a draining server. It uses no information from the program under test.
package check

import (
	"fmt"
	"sync"
	"time"
)

// Rules are the time limits of the rules.
type Rules struct {
	ReleaseWait time.Duration // between an attempt that was given up or cut and the next one
	DrainGrace  time.Duration // how long an instance may still send after a drain was announced to it
	Slack       time.Duration // tolerance added to every limit, for runs on real sockets
}

// Ledger records what was observed. It is safe for concurrent use.
type Ledger struct {
	rules          Rules
	mu             sync.Mutex
	calls          map[string]*callRecord
	drainAnnounced map[string]time.Time // by instance and server: when the drain was announced to the instance
	Violations
}

// Violations counts the violations of each rule, and describes the first few.
type Violations struct {
	MissingAnswers      int      `json:"answers_missing"`
	DuplicateAnswers    int      `json:"answers_twice"`
	OverlappingAttempts int      `json:"attempts_overlapping"`
	TooSoon             int      `json:"attempts_too_soon"`
	SendsAfterDrain     int      `json:"sends_after_drain"`
	UnknownCalls        int      `json:"attempts_unasked"` // attempts of calls that no caller made
	Descriptions        []string `json:"broken,omitempty"`
}

// Any tells whether there was any violation.
func (v Violations) Any() bool {
	return v.MissingAnswers+v.DuplicateAnswers+v.OverlappingAttempts+v.TooSoon+v.SendsAfterDrain+v.UnknownCalls > 0
}

// callRecord is what was observed of one call.
type callRecord struct {
	offeredAt     time.Time
	answers       int
	abandoned     bool   // its caller gave it up, or its instance was killed or frozen: no answer is due any more
	attemptServer string // server that has its attempt; empty: none
	attempts      int
	nextAttemptAt time.Time // when the release wait is over
}

// maxDescriptions bounds the number of violations that are described.
const maxDescriptions = 20

// New makes a ledger.
func New(r Rules) *Ledger {
	return &Ledger{rules: r, calls: map[string]*callRecord{}, drainAnnounced: map[string]time.Time{}}
}

// addViolation increments a count, and describes the violation if fewer than maxDescriptions are described.
func (l *Ledger) addViolation(n *int, format string, a ...any) {
	*n++
	if len(l.Descriptions) < maxDescriptions {
		l.Descriptions = append(l.Descriptions, fmt.Sprintf(format, a...))
	}
}

// Offered records a call that is sent to an instance.
func (l *Ledger) Offered(call string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call] = &callRecord{offeredAt: at}
}

// Answered records a final answer that a caller received.
func (l *Ledger) Answered(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil {
		if e.answers++; e.answers > 1 {
			l.addViolation(&l.DuplicateAnswers, "call %s has %d answers", call, e.answers)
		}
	}
}

// Abandoned records that a caller gave up its call, or that the instance that had it was killed or frozen.
func (l *Ledger) Abandoned(call string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil {
		e.abandoned = true
	}
}

// TimedOut records that a caller's time is up; it is a violation if there was no answer and the call was not abandoned.
func (l *Ledger) TimedOut(call, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.calls[call]; e != nil && e.answers == 0 && !e.abandoned {
		e.abandoned = true
		l.addViolation(&l.MissingAnswers, "call %s has no answer: %s", call, reason)
	}
}

// DrainAnnounced records that an instance received the announcement that a server drains or is gone.
func (l *Ledger) DrainAnnounced(instance, server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainAnnounced[instance+" "+server] = at
}

// ServingAnnounced records that an instance received the announcement that a server accepts work again.
func (l *Ledger) ServingAnnounced(instance, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drainAnnounced, instance+" "+server)
}

// AttemptSent records an attempt that reached a server.
func (l *Ledger) AttemptSent(call, instance, server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.calls[call]
	if e == nil {
		l.addViolation(&l.UnknownCalls, "attempt of unknown call %s", call)
		return
	}
	if e.attemptServer != "" {
		l.addViolation(&l.OverlappingAttempts, "call %s sent to %s while an attempt is outstanding at %s", call, server, e.attemptServer)
	}
	if at.Before(e.nextAttemptAt.Add(-l.rules.Slack)) {
		l.addViolation(&l.TooSoon, "call %s sent again %v too soon after a given-up attempt", call, e.nextAttemptAt.Sub(at))
	}
	if announcedAt, ok := l.drainAnnounced[instance+" "+server]; ok && at.After(announcedAt.Add(l.rules.DrainGrace+l.rules.Slack)) {
		l.addViolation(&l.SendsAfterDrain, "call %s sent to draining server %s, %v after the drain was announced to %s", call, server, at.Sub(announcedAt), instance)
	}
	e.attemptServer = server
	e.attempts++
}

// AttemptEnded records that a server answered an attempt, or that the attempt was given up, which starts the release
// wait.
func (l *Ledger) AttemptEnded(call, server string, givenUp bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.calls[call]
	if e == nil || e.attemptServer != server {
		return
	}
	e.attemptServer = ""
	if givenUp {
		e.nextAttemptAt = at.Add(l.rules.ReleaseWait)
	}
}

// Result gives the violations so far, and the number of calls and attempts observed.
func (l *Ledger) Result() (b Violations, calls, attempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.calls {
		attempts += e.attempts
	}
	return l.Violations, len(l.calls), attempts
}
