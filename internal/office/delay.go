package office

import "time"

const (
	// minAnswerTimeout and maxAnswerTimeout bound how long nothing may be received on a connection after a set-up was sent
	// before the connection counts as dead: many times the network delay, and no longer than a call can wait for a second
	// attempt.
	minAnswerTimeout, maxAnswerTimeout = 250 * time.Millisecond, time.Second
	// meanGain, deviationGain and deviationFactor are the values of RFC 6298 for TCP's retransmission timer; the gains are
	// divisors.
	meanGain, deviationGain, deviationFactor = 8, 4, 4
)

// answerDelay estimates how long the servers take to answer a set-up, as RFC 6298 estimates round-trip times.
type answerDelay struct{ mean, deviation time.Duration }

// add includes the delay of one answer in the estimate. A delay is limited to the current timeout, so that a single slow
// answer can't keep a dead connection in use; where all answers are slow, the timeout grows with each.
func (d *answerDelay) add(delay time.Duration) {
	delay = min(delay, d.timeout())
	if d.mean == 0 {
		d.mean, d.deviation = delay, delay/2
		return
	}
	d.deviation += ((delay - d.mean).Abs() - d.deviation) / deviationGain
	d.mean += (delay - d.mean) / meanGain
}

// timeout is how long nothing may be received on a connection after a set-up before it counts as dead. It is longer
// where servers are slow to answer.
func (d *answerDelay) timeout() time.Duration {
	return min(max(d.mean+deviationFactor*d.deviation, minAnswerTimeout), maxAnswerTimeout)
}
