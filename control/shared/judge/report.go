package judge

// Kind is what was seen.
type Kind uint8

// The kinds. Only Silent and Dead can keep calls away; the others are told to operators, and Cold to budgets.
const (
	Well    Kind = iota // a set-up stood
	Silent              // no answer in time
	Dead                // it takes no connection
	Pressed             // it turned a set-up away, its line being too long
	Cold                // it stood after it had been dead: a new process
)

func (k Kind) String() string {
	return [...]string{"well", "silent", "dead", "pressed", "cold"}[min(k, Cold)]
}

func (k Kind) bad() bool { return k == Silent || k == Dead }

// Report is the newest thing that one instance saw of one server.
type Report struct {
	Server uint64 `codec:"s"`
	Kind   Kind   `codec:"k"`
	AgeMS  int64  `codec:"a"`
	Run    int    `codec:"r,omitempty"` // of the same kind, without another between
}

// Message is what an instance tells of all servers of which it has seen something of late.
type Message struct {
	From    string   `codec:"f"`
	Machine string   `codec:"m"` // instances on one machine are one witness: they share its network
	Reports []Report `codec:"r"`
}

const (
	// ReportsMost bounds a message, witnessesMost what is kept of a server, serversMost the servers.
	ReportsMost, witnessesMost, serversMost = 64, 24, 1024
)
