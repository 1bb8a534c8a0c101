package hostile

import (
	"fmt"
	"time"
)

// Bounds are what a good client and the platform may expect while others misbehave.
type Bounds struct {
	P99          time.Duration // greatest 99th percentile of the time to an answer
	RefusedShare float64       // greatest share of the good client's calls that are refused
	MemoryMB     float64       // greatest resident memory
}

// PlatformBounds are the target delay of the stand-in's class, the share that the operators' test of a calm day may lose, and
// the memory limit of their scored days.
var PlatformBounds = Bounds{P99: 1200 * time.Millisecond, RefusedShare: 0.05, MemoryMB: 192}

// Broken describes each bound that the result breaks.
func (r Result) Broken(b Bounds) (broken []string) {
	check := func(ok bool, format string, a ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, a...))
		}
	}
	check(r.Ended == "", "the instance ended: %s", r.Ended)
	check(r.Good.Missed == 0, "%d of %d calls have no answer", r.Good.Missed, r.Good.Calls)
	check(r.Good.Failed == 0, "%d of %d calls failed", r.Good.Failed, r.Good.Calls)
	check(float64(r.Good.Refused) <= b.RefusedShare*float64(r.Good.Calls), "%d of %d calls were refused", r.Good.Refused, r.Good.Calls)
	check(r.Good.P99MS <= float64(b.P99.Milliseconds()), "99th percentile %.0f ms", r.Good.P99MS)
	check(r.PeakMB <= b.MemoryMB, "%.0f MB", r.PeakMB)
	check(r.SetUpsAfter == 0, "%d set-ups of clients that had left", r.SetUpsAfter)
	check(r.RepeatedCalls == 0, "%d calls were set up more than once", r.RepeatedCalls)
	return broken
}
