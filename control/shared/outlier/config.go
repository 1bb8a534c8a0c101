package outlier

const second = int64(1e9)

// The defaults of Config.
const (
	// defaultRetention is somewhat longer than callers wait, so a server that recovers is tried again within that time.
	defaultRetention = 6 * second
	// If one answer in fifty is lost, five bad reports of six come about by chance once in 60 million samples.
	defaultSampleSize      = 6
	defaultBadShare        = 0.8
	defaultMinBad          = 2
	defaultMaxAvoidedShare = 0.25
	defaultOwnEvidenceTime = 2 * second
)

// Config holds the parameters of outlier detection; zero values stand for the defaults.
type Config struct {
	Retention       int64   // for how long a report counts, in nanoseconds
	SampleSize      int     // how many of the youngest reports decide, one for each machine
	BadShare        float64 // the part of them that must be bad
	MinBad          int     // the least number of bad reports, however small the sample
	MaxAvoidedShare float64 // the part of the listed servers that may be avoided; at least one server
	OwnEvidenceTime int64   // for how long an instance's own good observation overrides the others' reports
	// OmitCheck names one check to leave out, to test that the lab's checkers notice. It is empty in every build but the lab's
	// mutants.
	OmitCheck string
}

// CheckObservers is the check that the reports of one machine alone decide nothing.
const CheckObservers = "witnesses"

func (c *Config) setDefaults() {
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	if c.OwnEvidenceTime <= 0 {
		c.OwnEvidenceTime = defaultOwnEvidenceTime
	}
	if c.SampleSize <= 0 {
		c.SampleSize = defaultSampleSize
	}
	if c.BadShare <= 0 {
		c.BadShare = defaultBadShare
	}
	if c.MinBad <= 0 {
		c.MinBad = defaultMinBad
	}
	if c.MaxAvoidedShare <= 0 {
		c.MaxAvoidedShare = defaultMaxAvoidedShare
	}
}
