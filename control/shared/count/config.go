package count

const second = int64(1e9)

// Limits of what is sent and kept.
const (
	MaxKeyLength = 48
	maxKeys      = 64   // of one process
	maxSources   = 2048 // processes, including those replaced within a window
	// maxJumpSeconds bounds how far one message may raise a count, in seconds at the greatest rate, so that a corrupt
	// message does not distort the counts for long.
	maxJumpSeconds = 3600.0
	maxUptimeMS    = int64(10 * 366 * 24 * 3600 * 1000) // ten years
)

// clockDrift is the greatest rate error of a clock, as in package lease.
const clockDrift = 0.002

// Config sets limits, and states the assumptions behind the bounds of a Reading. Zero values stand for the defaults.
type Config struct {
	Window         int64   // the longest window that can be read, in nanoseconds
	SampleInterval int64   // the least time between two samples of a process
	MaxDelay       int64   // the greatest delay of a message
	MaxRate        float64 // the greatest rate at which a process counts one key, per second
	// OmitCheck names one check to leave out, to test that the lab's checkers notice. It is empty in every build but the lab's
	// mutants.
	OmitCheck string
}

// CheckMerge is the check that a duplicated message does not count twice.
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
