package office

import "time"

const (
	// silentFor is how long a connection must have been silent for a connect that does not come up to prove
	// that the machine has vanished: several of the reports that offices send unasked. Callers want the
	// release within 8 s of the end of their calls.
	silentMachineTimeout = 3500 * time.Millisecond
	// refusedFor is how long a server without a connection must refuse each connect to be taken for dead. One that
	// drains refuses too, and its connection may have been reset under calls that stand.
	refusedTimeout = 2 * time.Second
	// unheardFor is how long after a server's last word the calls there are given up while it takes no connect, where
	// neither an open connection nor the server list speaks for it: its last release may have been lost as it stopped,
	// and what has ended must be released within 8 s (PROTOCOL). Servers that drain say nothing for a while and go on
	// with their calls, so it is not much shorter.
	unheardTimeout = 7 * time.Second
	// listStep is how often it is looked whether the server list is still heard.
	listPollInterval = 250 * time.Millisecond
)

// silence is what is known of a server that takes no connect, over all its connections: the end of a connection must
// not forget how long the server has been silent. It is told the time and holds no lock.
type liveness struct {
	lastHeard         time.Time // the server's last word, over whichever connection
	unreachableSince  time.Time // first of the failed connects in a row without an open connection; zero: none
	lastConnectFailed bool      // the last connect failed and nothing was heard since
	connectRefused    bool      // by the machine; else it did not come up
}

// heardAt notes a word of the server.
func (s *liveness) recordHeard(now time.Time) {
	s.lastHeard = now
	s.lastConnectFailed = false
}

// connected notes a new connection: the process is there, although it has said nothing yet.
func (s *liveness) recordConnected(now time.Time) {
	s.recordHeard(now)
	s.unreachableSince = time.Time{}
}

// disconnected notes that no connection is left: from here on failed connects count anew.
func (s *liveness) recordDisconnected() { s.unreachableSince = time.Time{} }

// connectFailed notes a connect that failed, beside an open connection or without one.
func (s *liveness) recordConnectFailure(now time.Time, refused, open bool) {
	s.lastConnectFailed, s.connectRefused = true, refused
	if !open && s.unreachableSince.IsZero() {
		s.unreachableSince = now
	}
}

// failing tells whether the last sign of the server is a failed connect.
func (s *liveness) failing() bool { return s.lastConnectFailed }

// patience is how long failed connects in a row prove nothing where no connection is open.
func (s *liveness) failureTimeout() time.Duration {
	if s.connectRefused {
		return refusedTimeout
	}
	return silentMachineTimeout
}

// dead tells whether a connect that fails now proves that the server's process has ended, and with it all calls there.
//
//   - No connection is left: failed connects for a while, or for less if the server was silent long before.
//   - A connection is open and the machine refuses: a draining server takes no connects and goes on with what it has, and
//     says so by its reports. After a long silence nothing that ends there can be known, unless the list tells.
//   - A connection is open and the machine does not answer: it has vanished if the connection is silent too.
func (s *liveness) dead(now time.Time, open, listed bool) bool {
	if !s.lastConnectFailed {
		return false
	}
	unheard := now.Sub(s.lastHeard)
	switch {
	case !open && s.unreachableSince.IsZero():
		return unheard >= unheardTimeout
	case !open:
		return unheard >= unheardTimeout || now.Sub(s.unreachableSince) >= s.failureTimeout()
	case s.connectRefused:
		return unheard >= unheardTimeout && !listed
	default:
		return unheard > silentMachineTimeout
	}
}

// nextProbe is when a connect that fails may first prove the server dead.
func (s *liveness) nextProbeAt(open bool) time.Time {
	unheard := s.lastHeard.Add(unheardTimeout)
	if open || s.unreachableSince.IsZero() {
		return unheard
	}
	unreachable := s.unreachableSince.Add(s.failureTimeout())
	if unreachable.Before(unheard) {
		return unreachable
	}
	return unheard
}
