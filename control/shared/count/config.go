package count

const second = int64(1e9)

// Bounds of what is sent and kept.
const (
	MaxKeyLength = 48
	maxKeys      = 64   // of one process
	maxSources   = 2048 // processes, with those that were replaced within a window
	// maxJumpSeconds bounds how far one message may raise a count, in seconds at the greatest rate. A corrupt message must
	// not distort the counts for long.
	maxJumpSeconds = 3600.0
	maxUptimeMS    = int64(10 * 366 * 24 * 3600 * 1000) // ten years
)

// clockDrift is the greatest rate error of a clock, as in package lease.
const clockDrift = 0.002

// Config bounds what is kept, and states what the bounds of a Reading assume. Zero values stand for the defaults.
type Config struct {
	Window         int64   // the longest window that is read, in nanoseconds
	SampleInterval int64   // the least time between two samples of a process
	MaxDelay       int64   // how long a message is under way at most
	MaxRate        float64 // how often a process counts one key at most, per second
	// OmitCheck names one check to leave out, to test that the lab's checkers notice. It is empty in every build but the lab's
	// mutants.
	OmitCheck string
}

// CheckMerge is the check that what is received twice does not count twice.
const CheckMerge = "merge"

func (c *Config) setDefaults() {
	if c.Window <= 0 {
		c.Window = 10 * second
	}
	if c.SampleInterval <= 0 {
		c.SampleInterval = second / 4
	}
	if c.MaxDelay <= 0 {
		c.MaxDelay = 2 * second
	}
	if c.MaxRate <= 0 {
		c.MaxRate = 2000
	}
}
