package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

// stretched multiplies a time by Options.ClockSlowdown, so that a machine can run fleets that are too large for it at full
// speed.
func (o *Options) stretched(d time.Duration) time.Duration {
	if o.ClockSlowdown <= 1 {
		return d
	}
	return time.Duration(float64(d) * o.ClockSlowdown)
}

// stretchConfig stretches all times of the membership library by Options.ClockSlowdown.
func (o *Options) stretchConfig(c *memberlist.Config) *memberlist.Config {
	for _, d := range []*time.Duration{&c.ProbeInterval, &c.ProbeTimeout, &c.GossipInterval, &c.PushPullInterval, &c.TCPTimeout,
		&c.GossipToTheDeadTime, &c.DeadNodeReclaimTime} {
		*d = o.stretched(*d)
	}
	return c
}
