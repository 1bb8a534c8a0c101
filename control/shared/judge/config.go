package judge

// Config are the figures; zero ones have the defaults.
type Config struct {
	Fade    int64   // that a report lasts, in nanoseconds
	Jury    int     // the youngest reports that decide, of so many machines
	Needed  float64 // of these, the part that has to be bad
	Least   int     // bad ones at least, whatever the jury
	LeftOut float64 // part of the listed servers that hearsay may keep calls from, one at least
	OwnFor  int64   // that good evidence of one's own keeps hearsay off
	// Without leaves a guard out, to show that the checkers notice: Witnesses. Empty in every build but the lab's.
	Without string
}

// Witnesses is the guard that one machine's word decides nothing.
const Witnesses = "witnesses"

const (
	second = int64(1e9)
	// fadeDefault is some way over the patience of a call: a server that comes back is tried again within that.
	fadeDefault = 6 * second
	// juryDefault and neededDefault: with one answer in fifty lost, five bad of six come about once in 60 million.
	juryDefault, neededDefault, leastDefault = 6, 0.8, 2
	leftOutDefault                           = 0.25
	ownDefault                               = 2 * second
)

func (c *Config) defaults() {
	set := func(x *int64, d int64) {
		if *x <= 0 {
			*x = d
		}
	}
	set(&c.Fade, fadeDefault)
	set(&c.OwnFor, ownDefault)
	if c.Jury <= 0 {
		c.Jury = juryDefault
	}
	if c.Needed <= 0 {
		c.Needed = neededDefault
	}
	if c.Least <= 0 {
		c.Least = leastDefault
	}
	if c.LeftOut <= 0 {
		c.LeftOut = leftOutDefault
	}
}
