package exchange

import (
	"masthill/control/join"
	"strconv"
)

// status returns the state for operators. It changes nothing.
func (c *core) status() Status {
	s := Status{Open: c.unanswered, Held: c.controller.Held(), HeldByModules: c.heldByModules, EstablishedCalls: len(c.calls) - c.unanswered, ReceivedTotal: c.serial,
		EstablishedTotal: c.answersGiven[Established], Refused: c.answersGiven[Refused], Failed: c.answersGiven[Failed], LoadBytes: c.loadBytes, Modules: c.modules.Status(c.now)}
	for _, server := range c.controller.ServerStatuses(c.now) {
		listed := "serving"
		if !server.Available {
			listed = "draining"
		}
		s.Offices = append(s.Offices, OfficeState{ID: strconv.FormatUint(server.Server, 16), Addr: c.knownOffices[server.Server].Addr, Listed: listed,
			CapacityFraction: server.CapacityFraction, Cold: server.Cold, Down: server.Down, InBackoff: server.InBackoff, Overloaded: server.Overloaded, Pending: server.Pending, EstablishedCalls: server.EstablishedCalls,
			ExpectedDelayMS: float64(server.ExpectedDelay) / 1e6})
	}
	return s
}

// Status is the state of the core for operators.
type Status struct {
	Open             int           `json:"open"`     // calls without a final answer
	Held             int           `json:"held"`     // of these, held by control for a later attempt
	HeldByModules    int           `json:"waiting"`  // of these, held by joined modules
	EstablishedCalls int           `json:"standing"` // established calls
	ReceivedTotal    uint64        `json:"taken"`    // calls submitted since the start
	EstablishedTotal uint64        `json:"stands"`   // final answers since the start, by kind
	Refused          uint64        `json:"refused"`
	Failed           uint64        `json:"failed"`
	LoadBytes        int           `json:"load_bytes"` // memory that all present calls are counted with
	InboxLength      int           `json:"inbox"`      // queued events
	Offices          []OfficeState `json:"offices"`
	Modules          []join.Status `json:"modules"`
}

// OfficeState is one office as listed and as the controller sees it.
type OfficeState struct {
	ID               string  `json:"id"` // hex
	Addr             string  `json:"addr"`
	Listed           string  `json:"listed"` // serving, draining
	CapacityFraction float64 `json:"warmth"` // estimated fraction of its full capacity while it warms up
	Cold             bool    `json:"cold"`
	Down             bool    `json:"down"`
	InBackoff        bool    `json:"marked"`   // it gets no calls until its backoff ends
	Overloaded       bool    `json:"pressed"`  // its expected delay closes it to calls of the least valuable class
	Pending          int     `json:"out"`      // attempts without an answer
	EstablishedCalls int     `json:"standing"` // established calls
	ExpectedDelayMS  float64 `json:"delay_ms"` // expected
}

// Status returns the state of the core; the zero Status after its end.
func (x *Exchange) Status() (s Status) {
	x.runAndWait(func() { s = x.core.status() })
	x.mu.Lock()
	s.InboxLength = len(x.inbox)
	x.mu.Unlock()
	return s
}
