package count

// Config bounds what is kept, and names what the bounds assume.
type Config struct {
	Window int64   // the longest that is asked for, in nanoseconds
	Every  int64   // between two samples of an instance that are kept apart
	Delay  int64   // that a message takes at most
	Rate   float64 // that one instance counts of one key at most, a second
	// Without leaves a guard out, to show that the checkers notice: Merge. Empty in every build but the lab's.
	Without string
}

// Merge is the guard that keeps what is heard twice from counting twice.
const Merge = "merge"

const (
	second = int64(1e9)
	// keysMost bounds the keys of one instance, KeyLong a key's length, sourcesMost the instances (with those that have been
	// replaced within a window).
	keysMost, sourcesMost = 64, 2048
	// drift is by how much a clock may run fast or slow: as in package lease.
	drift = 0.002
	// futureMost bounds how far one message may move a count, in seconds of the greatest rate: a message that is wrong, and
	// not just late, must not count for a whole season.
	futureMost = 3600.0
	upMost     = int64(10 * 366 * 24 * 3600 * 1000) // ten years in milliseconds
)

func (c *Config) defaults() {
	if c.Window <= 0 {
		c.Window = 10 * second
	}
	if c.Every <= 0 {
		c.Every = second / 4
	}
	if c.Delay <= 0 {
		c.Delay = 2 * second
	}
	if c.Rate <= 0 {
		c.Rate = 2000
	}
}
