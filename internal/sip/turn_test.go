package sip

import (
	"io"
	"testing"
	"time"
)

// Guards against readers that keep a processor core to themselves: one whose input does not run dry pauses, one that waits
// for its input as long as it handles it does not.
func TestReaderOfEndlessInputPauses(t *testing.T) {
	const reads = 100
	for _, tc := range []struct {
		bytes          int           // of each read
		handling, wait time.Duration // of what was read, and for it
		want           int           // pauses in that many reads
	}{
		{minTurnBytes, maxTurn / 10, 0, reads / 10},
		{minTurnBytes, maxTurn / 10, maxTurn / 20, reads / 20},
		{minTurnBytes, maxTurn / 2, maxTurn / 2, 0},
		{minTurnBytes, maxTurn * 2, 0, reads},
		{minTurnBytes / 10, maxTurn * 2, 0, reads / 10}, // it waits for the processor
	} {
		var u turn
		now, pauses := time.Unix(1_000_000, 0), 0
		u.readReturned(tc.bytes, 0, now)
		for range reads {
			now = now.Add(tc.handling)
			if u.readCalled(now) {
				pauses++
			}
			now = now.Add(tc.wait)
			u.readReturned(tc.bytes, tc.wait, now)
		}
		if pauses < tc.want-1 || pauses > tc.want {
			t.Errorf("%d bytes, handling %v, wait %v: %d pauses in %d reads, want %d", tc.bytes, tc.handling, tc.wait, pauses, reads, tc.want)
		}
	}
}

// Guards against the same in reads of a socket.
func TestInputPausesAfterATurn(t *testing.T) {
	peer, c := loopbackPair(t)
	defer c.Close()
	in := NewInput(c)
	io.WriteString(peer, "xx")
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	in.turn.handled, in.turn.bytes = maxTurn, minTurnBytes
	calledAt := time.Now()
	if _, err := in.Read(make([]byte, 1)); err != nil || time.Since(calledAt) < turnPause {
		t.Errorf("a read after a whole turn took %v, %v", time.Since(calledAt), err)
	}
}
