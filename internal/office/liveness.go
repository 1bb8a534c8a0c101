package office

import "time"

const (
	// silentMachineTimeout is how long a connection must have been silent for a connect without any response to prove that
	// the machine has vanished: several intervals of the reports that offices send unasked. Calls must be released within
	// 8 s of their end.
	silentMachineTimeout = 3500 * time.Millisecond
	// refusedTimeout is how long a server without a connection must refuse every connect to count as dead. A draining
	// server refuses connects too, and its connection may have been reset while calls are established there.
	refusedTimeout = 2 * time.Second
	// unheardTimeout is how long after a server's last message its calls are given up if it accepts no connect, and neither
	// an open connection nor the server list shows that it runs. Its last release may have been lost as it stopped, and a
	// call that has ended must be released within 8 s (PROTOCOL). It is not much shorter, as draining servers send nothing
	// for a while and go on with their calls.
	unheardTimeout = 7 * time.Second
	// listPollInterval is how often it is checked whether the server list is still up to date.
	listPollInterval = 250 * time.Millisecond
)

// liveness decides whether a server that accepts no connects is dead. It covers all connections of the server, so that
// the end of a connection does not reset how long the server has been silent. Callers pass in the time and hold the
// lock.
type liveness struct {
	lastHeard         time.Time // when the server last sent something, over any connection
	unreachableSince  time.Time // the first of the consecutive connects that failed without an open connection; zero: none
	lastConnectFailed bool      // and nothing was received since
	connectRefused    bool      // by the machine; else it timed out or failed otherwise
}

// recordHeard records that something was received from the server.
func (s *liveness) recordHeard(now time.Time) {
	s.lastHeard = now
	s.lastConnectFailed = false
}

// recordConnected records a new connection: the process runs, although it has sent nothing yet.
func (s *liveness) recordConnected(now time.Time) {
	s.recordHeard(now)
	s.unreachableSince = time.Time{}
}

// recordDisconnected records that no connection is left: failed connects count from here on.
func (s *liveness) recordDisconnected() { s.unreachableSince = time.Time{} }

// recordConnectFailure records a failed connect; open: the server has an open connection.
func (s *liveness) recordConnectFailure(now time.Time, refused, open bool) {
	s.lastConnectFailed, s.connectRefused = true, refused
	if !open && s.unreachableSince.IsZero() {
		s.unreachableSince = now
	}
}

// failing tells whether the latest information about the server is a failed connect.
func (s *liveness) failing() bool { return s.lastConnectFailed }

// failureTimeout is how long connects must fail for the server to count as dead when no connection is open.
func (s *liveness) failureTimeout() time.Duration {
	if s.connectRefused {
		return refusedTimeout
	}
	return silentMachineTimeout
}

// dead tells whether a connect that fails now proves that the server's process has ended, and with it all calls there.
//
//   - No connection is open: connects have failed for failureTimeout, or the server has been silent for unheardTimeout.
//   - A connection is open and the machine refuses: a draining server accepts no connects, goes on with its calls and
//     still sends reports. After a silence of unheardTimeout, a call that ends there can't be noticed any more, unless
//     the list is up to date and would report the server's end.
//   - A connection is open and the machine does not respond: it has vanished if the connection is silent too.
func (s *liveness) dead(now time.Time, open, listed bool) bool {
	if !s.lastConnectFailed {
		return false
	}
	silence := now.Sub(s.lastHeard)
	switch {
	case !open && s.unreachableSince.IsZero():
		return silence >= unheardTimeout
	case !open:
		return silence >= unheardTimeout || now.Sub(s.unreachableSince) >= s.failureTimeout()
	case s.connectRefused:
		return silence >= unheardTimeout && !listed
	default:
		return silence > silentMachineTimeout
	}
}

// nextProbeAt is when a failed connect may first prove the server dead.
func (s *liveness) nextProbeAt(open bool) time.Time {
	unheardDeadline := s.lastHeard.Add(unheardTimeout)
	if open || s.unreachableSince.IsZero() {
		return unheardDeadline
	}
	unreachableDeadline := s.unreachableSince.Add(s.failureTimeout())
	if unreachableDeadline.Before(unheardDeadline) {
		return unreachableDeadline
	}
	return unheardDeadline
}
