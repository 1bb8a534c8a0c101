package exchange

import (
	"masthill/control/join"
	"strconv"
)

// status is a look at everything, for operators. It changes nothing.
func (c *core) status() Status {
	s := Status{Open: c.open, Held: c.module.Held(), HeldByModules: c.waits, Standing: len(c.calls) - c.open, ReceivedTotal: c.serial,
		Stands: c.given[Stands], Refused: c.given[Refused], Failed: c.given[Failed], LoadBytes: c.load, Modules: c.chain.Status(c.now)}
	for _, b := range c.module.ServerStatuses(c.now) {
		listed := "serving"
		if !b.Available {
			listed = "draining"
		}
		s.Offices = append(s.Offices, OfficeState{ID: strconv.FormatUint(b.Server, 16), Addr: c.known[b.Server].Addr, Listed: listed,
			Warmth: b.Warmth, Cold: b.Cold, Down: b.Down, Marked: b.Marked, Pressed: b.Pressed, Out: b.Out, Standing: b.Standing,
			ExpectedDelayMS: float64(b.ExpectedDelay) / 1e6})
	}
	return s
}

// Status is what the core tells operators.
type Status struct {
	Open          int           `json:"open"`     // calls that wait for their answer
	Held          int           `json:"held"`     // of these, held for a later try
	HeldByModules int           `json:"waiting"`  // of these, held by joined modules
	Standing      int           `json:"standing"` // calls
	ReceivedTotal uint64        `json:"taken"`    // calls, since the start
	Stands        uint64        `json:"stands"`   // final answers, since the start
	Refused       uint64        `json:"refused"`
	Failed        uint64        `json:"failed"`
	LoadBytes     int           `json:"load_bytes"` // what the calls in hand hold
	InboxLength   int           `json:"inbox"`      // events that wait for the core
	Offices       []OfficeState `json:"offices"`
	Modules       []join.Status `json:"modules"`
}

// OfficeState is one office as listed and as believed.
type OfficeState struct {
	ID              string  `json:"id"` // hex
	Addr            string  `json:"addr"`
	Listed          string  `json:"listed"` // serving, draining
	Warmth          float64 `json:"warmth"` // part of its capacity that it is taken to have
	Cold            bool    `json:"cold"`
	Down            bool    `json:"down"`
	Marked          bool    `json:"marked"`
	Pressed         bool    `json:"pressed"`
	Out             int     `json:"out"`
	Standing        int     `json:"standing"`
	ExpectedDelayMS float64 `json:"delay_ms"` // to be expected
}

// Status asks the core; the zero Status after its end.
func (x *Exchange) Status() (s Status) {
	x.ask(func() { s = x.core.status() })
	x.mu.Lock()
	s.InboxLength = len(x.inbox)
	x.mu.Unlock()
	return s
}
