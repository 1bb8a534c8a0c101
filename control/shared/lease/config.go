package lease

// Config is the same at all instances.
type Config struct {
	Keepers []string // an odd number of names; the allocator is one of them
	Most    int      // instances that there may be, at most
	Floor   float64  // part of each budget that is cut into floors
	Term    int64    // nanoseconds that a promise or a part lasts
	Drift   float64  // by which a clock may run fast or slow, at most
	Burst   float64  // seconds of its rate that a holder may save up
	// Without leaves a guard out, to show that the checkers notice: Mute, Anchor, Open, Book or Answered. Empty in every build but
	// the lab's.
	Without string
}

// The guards that can be left out.
const (
	Mute   = "mute"   // a keeper that starts is silent for a term
	Anchor = "anchor" // an answer counts from the asking, not from its coming
	Open   = "open"   // a new allocator waits for a term
	Book   = "book"   // what others may be using is kept back
	// Answered is the guard that an answer is for the process that asked.
	Answered = "answered"
)

const (
	second = int64(1e9)
	// termDefault is long against delays of a tenth of a second and short against the 15 s of a cold server.
	termDefault = 2 * second
	// driftDefault is ten times what a computer's clock is off that no other corrects, and what correction by slewing adds.
	driftDefault = 0.002
	// floorDefault leaves a fleet without an allocator most of what it had: with 0.2 a wave of restarts, which the allocator is
	// part of, cost 0.004 of service (20 instances, 3 servers, ten paired seeds of the model), with 0.6 0.0015.
	floorDefault = 0.6
	burstDefault = 0.5
)

func (c *Config) defaults() {
	if c.Term <= 0 {
		c.Term = termDefault
	}
	if c.Drift <= 0 {
		c.Drift = driftDefault
	}
	if c.Floor <= 0 {
		c.Floor = floorDefault
	}
	if c.Burst <= 0 {
		c.Burst = burstDefault
	}
	c.Most = max(c.Most, 1)
}

// usable is how long the asker may go by an answer, from its own asking on: its clock may be slow by the drift, and the
// giver's fast.
func (c *Config) usable() int64 {
	return int64(float64(c.Term) * (1 - c.Drift) / (1 + c.Drift))
}

// floor is an instance's own part of a budget, whoever else is alive.
func (c *Config) floor(size int64) int64 {
	return int64(c.Floor*float64(size)) / int64(c.Most)
}

// pool is what the allocator hands out of a budget.
func (c *Config) pool(size int64) int64 { return size - int64(c.Most)*c.floor(size) }
