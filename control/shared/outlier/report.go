package outlier

// Limits of what is sent and stored.
const (
	MaxReports   = 64   // reports in one message
	maxObservers = 24   // machines whose reports of one server are kept
	maxServers   = 1024 // servers that reports are kept of
)

// Kind is the kind of an observation of a server.
type Kind uint8

// The kinds, by their numbers on the wire. Only Silent and Dead can make a server avoided. Cold is also used for the
// budgets of cold servers; the others are shown to operators.
const (
	Healthy    Kind = iota // a call was established
	Silent                 // no answer in time
	Dead                   // it refuses connections
	Overloaded             // it rejected a call because its queue is too long
	Cold                   // healthy after it had been dead: a new process
)

// String returns the name of the kind as it appears in decisions.
func (k Kind) String() string {
	return [...]string{"well", "silent", "dead", "pressed", "cold"}[min(k, Cold)]
}

// bad tells whether a report of this kind counts against a server.
func (k Kind) bad() bool { return k == Silent || k == Dead }

// Report is the newest observation that one instance made of one server.
type Report struct {
	Server uint64 `codec:"s"`
	Kind   Kind   `codec:"k"`
	AgeMS  int64  `codec:"a"`
	Streak int    `codec:"r,omitempty"` // observations of this kind in a row
}

// Message is a health report: what an instance has recently observed of the servers.
type Message struct {
	From    string   `codec:"f"`
	Machine string   `codec:"m"` // instances on one machine share its network, and count as one observer
	Reports []Report `codec:"r"`
}
