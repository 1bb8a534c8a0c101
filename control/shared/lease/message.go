package lease

// MaxLeasesPerMessage bounds the budgets in one message, which has to fit into a datagram.
const MaxLeasesPerMessage = 16

// ID names one process of an instance. Epochs are drawn at random at each start, so no two processes share one.
type ID struct {
	Name  string `codec:"n"`
	Epoch uint64 `codec:"e"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of message, by their numbers on the wire.
const (
	VoteRequest  Kind = iota + 1 // candidate to voter
	Vote                         // voter to candidate, for the round of the request
	VoteRelease                  // candidate to voter: the round failed, and the voter may vote for another
	LeaseRequest                 // holder to leader
	LeaseGrant                   // leader to holder, for the round of the request
	Redirect                     // voter to holder: another instance is the leader
)

// isReply tells whether messages of this kind answer a request.
func (k Kind) isReply() bool { return k == Vote || k == LeaseGrant || k == Redirect }

// Message is one message between two instances. Round numbers the sender's rounds of voting, or its lease requests; a
// reply repeats the number of its request.
type Message struct {
	Kind    Kind          `codec:"k"`
	From    ID            `codec:"f"`
	Round   uint64        `codec:"r"`
	Budgets []BudgetLease `codec:"p,omitempty"`
	Leader  string        `codec:"a,omitempty"` // Redirect: the leader's name; empty when none is known
	// ToEpoch is the epoch of the process that a reply is for. A restarted process counts its rounds from the beginning, so
	// a late reply to the previous process could otherwise be taken for a reply to the new one.
	ToEpoch uint64 `codec:"t,omitempty"`
}

// BudgetLease is what a message says of one budget. Rates are in thousandths of a unit per second.
type BudgetLease struct {
	Budget string `codec:"b"`
	Size   int64  `codec:"s,omitempty"` // LeaseRequest: the whole budget, as the requester knows it
	Held   int64  `codec:"h,omitempty"` // LeaseRequest: the most that the requester uses until a newer grant
	Rate   int64  `codec:"w"`           // LeaseRequest: what is requested; LeaseGrant: what is granted
}

// Outgoing is a message and the name of its receiver.
type Outgoing struct {
	To string
	Message
}
