package office

import "time"

const (
	// silentFor is how long a connection must have been silent for a connect that does not come up to prove
	// that the machine has vanished: several of the reports that offices send unasked. Callers want the
	// release within 8 s of the end of their calls.
	silentFor = 3500 * time.Millisecond
	// refusedFor is how long a server without a connection must refuse each connect to be taken for dead. One that
	// drains refuses too, and its connection may have been reset under calls that stand.
	refusedFor = 2 * time.Second
	// unheardFor is how long after a server's last word the calls there are given up while it takes no connect, where
	// neither an open connection nor the server list speaks for it: its last release may have been lost as it stopped,
	// and what has ended must be released within 8 s (PROTOCOL). Servers that drain say nothing for a while and go on
	// with their calls, so it is not much shorter.
	unheardFor = 7 * time.Second
	// listStep is how often it is looked whether the server list is still heard.
	listStep = 250 * time.Millisecond
)

// silence is what is known of a server that takes no connect, over all its connections: the end of a connection must
// not forget how long the server has been silent. It is told the time and holds no lock.
type silence struct {
	heard        time.Time // the server's last word, over whichever connection
	unreachable  time.Time // first of the failed connects in a row without an open connection; zero: none
	connectFails bool      // the last connect failed and nothing was heard since
	refused      bool      // by the machine; else it did not come up
}

// heardAt notes a word of the server.
func (s *silence) heardAt(now time.Time) {
	s.heard = now
	s.connectFails = false
}

// connected notes a new connection: the process is there, although it has said nothing yet.
func (s *silence) connected(now time.Time) {
	s.heardAt(now)
	s.unreachable = time.Time{}
}

// disconnected notes that no connection is left: from here on failed connects count anew.
func (s *silence) disconnected() { s.unreachable = time.Time{} }

// connectFailed notes a connect that failed, beside an open connection or without one.
func (s *silence) connectFailed(now time.Time, refused, open bool) {
	s.connectFails, s.refused = true, refused
	if !open && s.unreachable.IsZero() {
		s.unreachable = now
	}
}

// failing tells whether the last sign of the server is a failed connect.
func (s *silence) failing() bool { return s.connectFails }

// patience is how long failed connects in a row prove nothing where no connection is open.
func (s *silence) patience() time.Duration {
	if s.refused {
		return refusedFor
	}
	return silentFor
}

// dead tells whether a connect that fails now proves that the server's process has ended, and with it all calls there.
//
//   - No connection is left: failed connects for a while, or for less if the server was silent long before.
//   - A connection is open and the machine refuses: a draining server takes no connects and goes on with what it has, and
//     says so by its reports. After a long silence nothing that ends there can be known, unless the list tells.
//   - A connection is open and the machine does not answer: it has vanished if the connection is silent too.
func (s *silence) dead(now time.Time, open, listed bool) bool {
	if !s.connectFails {
		return false
	}
	unheard := now.Sub(s.heard)
	switch {
	case !open && s.unreachable.IsZero():
		return unheard >= unheardFor
	case !open:
		return unheard >= unheardFor || now.Sub(s.unreachable) >= s.patience()
	case s.refused:
		return unheard >= unheardFor && !listed
	default:
		return unheard > silentFor
	}
}

// nextProbe is when a connect that fails may first prove the server dead.
func (s *silence) nextProbe(open bool) time.Time {
	unheard := s.heard.Add(unheardFor)
	if open || s.unreachable.IsZero() {
		return unheard
	}
	unreachable := s.unreachable.Add(s.patience())
	if unreachable.Before(unheard) {
		return unreachable
	}
	return unheard
}
