package office

import "time"

const (
	// silenceLeast and silenceMost bound how long a connection may bring nothing after a set-up went out on it before
	// it counts as dead: many times what the network takes, and no longer than a call can wait for a second attempt.
	minAnswerTimeout, maxAnswerTimeout = 250 * time.Millisecond, time.Second
	// meanGain, deviationGain and deviationTimes are those of RFC 6298 for the retransmission timer of TCP.
	meanGain, deviationGain, deviationFactor = 8, 4, 4
)

// answerDelay estimates how long the servers take to answer a set-up, as RFC 6298 does for a round trip.
type answerDelay struct{ mean, deviation time.Duration }

// add takes the delay of one answer. One straggler counts for no more than the silence granted before it, lest it alone
// keep a dead connection in use; where all answers are slow, the silence grows with each.
func (d *answerDelay) add(delay time.Duration) {
	delay = min(delay, d.timeout())
	if d.mean == 0 {
		d.mean, d.deviation = delay, delay/2
		return
	}
	d.deviation += ((delay - d.mean).Abs() - d.deviation) / deviationGain
	d.mean += (delay - d.mean) / meanGain
}

// silence tells how long a connection may bring nothing after a set-up before it counts as dead. Where servers are slow
// to answer, a silence says less.
func (d *answerDelay) timeout() time.Duration {
	return min(max(d.mean+deviationFactor*d.deviation, minAnswerTimeout), maxAnswerTimeout)
}
