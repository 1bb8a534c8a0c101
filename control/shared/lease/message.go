package lease

// ID names one process of an instance. Epochs are drawn at random at each start: two processes never have the same.
type ID struct {
	Name  string `codec:"n"`
	Epoch uint64 `codec:"e"`
}

// Kind tells messages apart.
type Kind uint8

// The kinds of message.
const (
	Bid       Kind = iota + 1 // candidate to keeper: promise yourself to me
	Promise                   // keeper to candidate, of that round
	Yield                     // candidate to keeper: the round came to nothing
	Ask                       // holder to allocator
	Grant                     // allocator to holder, of that round
	Elsewhere                 // keeper to holder: ask this one
)

// Message is what instances say to each other. Round numbers the sender's bids, or its asks.
type Message struct {
	Kind  Kind   `codec:"k"`
	From  ID     `codec:"f"`
	Round uint64 `codec:"r"`
	Parts []Part `codec:"p,omitempty"`
	Name  string `codec:"a,omitempty"` // Elsewhere: of the allocator, empty where none is known
	// For is the epoch of the process that is answered. One that starts anew counts its rounds from the beginning, and an
	// answer to the process before, late, would pass for its own.
	For uint64 `codec:"t,omitempty"`
}

// Part is one budget in a message. Rates are in thousandths a second.
type Part struct {
	Budget string `codec:"b"`
	Size   int64  `codec:"s,omitempty"` // of the whole budget, as the asker knows it
	Hold   int64  `codec:"h,omitempty"` // Ask: what the asker uses, at most, until it has a newer grant
	Rate   int64  `codec:"w"`           // Ask: what it wants; Grant: what it has
}

// Out is a message and who is to get it.
type Out struct {
	To string
	Message
}

const (
	// PartsMost bounds the budgets in a message, which has to fit a datagram.
	PartsMost = 16
)
