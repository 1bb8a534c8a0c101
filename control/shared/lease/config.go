package lease

const second = int64(1e9)

// The defaults of Config.
const (
	// defaultTerm is long against network delays of a tenth of a second, and short against the 15 s for which a server is cold.
	defaultTerm = 2 * second
	// defaultDrift is ten times the rate error of an undisciplined computer clock, plus what slewing adds.
	defaultDrift = 0.002
	// defaultFloor leaves a fleet without a leader most of its budgets. In a rolling restart, which restarts the leader too,
	// 0.2 cost 0.004 of service and 0.6 cost 0.0015 (20 instances, 3 servers, ten paired seeds of the model).
	defaultFloor = 0.6
	defaultBurst = 0.5
)

// Config must be the same on all instances.
type Config struct {
	Voters       []string // the voters: an odd number of names, one of which becomes the leader
	MaxInstances int      // the greatest number of instances
	Floor        float64  // the part of each budget that is divided into floors; 0: the default
	Term         int64    // how long a vote or a lease lasts, in nanoseconds; 0: the default
	Drift        float64  // the greatest rate error of a clock, as a part; 0: the default
	Burst        float64  // how many seconds of its rate a holder may accumulate; 0: the default
	// OmitCheck names one check to leave out, to test that the lab's checkers notice. It is empty in every build but the lab's
	// mutants.
	OmitCheck string
}

// The checks that Config.OmitCheck can leave out.
const (
	CheckVoterSilence = "mute"     // a voter that starts is silent for one term
	CheckRequestTime  = "anchor"   // a grant is valid from when it was requested, not from when it arrived
	CheckGrantDelay   = "open"     // a new leader waits for one term before it grants
	CheckReservations = "book"     // what other holders may be using is reserved
	CheckReplyEpoch   = "answered" // a reply counts only for the process that sent the request
)

func (c *Config) setDefaults() {
	if c.Term <= 0 {
		c.Term = defaultTerm
	}
	if c.Drift <= 0 {
		c.Drift = defaultDrift
	}
	if c.Floor <= 0 {
		c.Floor = defaultFloor
	}
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	c.MaxInstances = max(c.MaxInstances, 1)
}

// usableTerm is how long a requester may rely on an answer, counted from its request: its own clock may be slow by the
// drift while the giver's is fast.
func (c *Config) usableTerm() int64 {
	return int64(float64(c.Term) * (1 - c.Drift) / (1 + c.Drift))
}

// floor is the part of a budget that each instance may use without a lease.
func (c *Config) floor(size int64) int64 {
	return int64(c.Floor*float64(size)) / int64(c.MaxInstances)
}

// pool is the part of a budget that the leader leases out.
func (c *Config) pool(size int64) int64 { return size - int64(c.MaxInstances)*c.floor(size) }
