package sip

import "time"

const (
	// maxTurn is how much longer a reader may handle input than wait for it before it pauses for turnPause. Goroutines that
	// keep each other busy can hold a processor core for hundreds of milliseconds in which Go's scheduler looks for no other
	// input; a pause lets it.
	maxTurn, turnPause = 2 * time.Millisecond, 2 * time.Millisecond
	// minTurnBytes is what a turn must have brought: a reader that only waits for the processor handles little for long.
	minTurnBytes = 4 << 10
)

// turn measures how long a reader has handled input without waiting for more, so that a peer which sends without end leaves
// time for the others. The zero value is a reader that has read nothing yet.
type turn struct {
	handled    time.Duration // how much longer it has handled input than waited for it
	bytes      int           // of the input
	returnedAt time.Time     // when the last read returned
}

// readCalled notes that the reader has handled what it had, and tells whether it must pause.
func (t *turn) readCalled(now time.Time) (over bool) {
	if !t.returnedAt.IsZero() {
		t.handled += now.Sub(t.returnedAt)
	}
	if over = t.handled >= maxTurn && t.bytes >= minTurnBytes; over {
		t.handled, t.bytes = 0, 0
	}
	return over
}

// readReturned notes that a read returned n bytes after a wait.
func (t *turn) readReturned(n int, wait time.Duration, now time.Time) {
	if t.handled -= wait; t.handled <= 0 {
		t.handled, t.bytes = 0, 0
	}
	t.bytes += n
	t.returnedAt = now
}
