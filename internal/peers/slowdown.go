package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// slowed stretches a time by Options.Slow: a lab runs fleets that its machine could not hold at their own pace.
func (o *Options) stretched(d time.Duration) time.Duration {
	if o.ClockSlowdown <= 1 {
		return d
	}
	return time.Duration(float64(d) * o.ClockSlowdown)
}

// slow stretches all times of the membership library.
func (o *Options) stretchConfig(c *memberlist.Config) *memberlist.Config {
	for _, d := range []*time.Duration{&c.ProbeInterval, &c.ProbeTimeout, &c.GossipInterval, &c.PushPullInterval, &c.TCPTimeout,
		&c.GossipToTheDeadTime, &c.DeadNodeReclaimTime} {
		*d = o.stretched(*d)
	}
	return c
}
