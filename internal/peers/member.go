package peers

import (
	"slices"
	"strings"
	"time"
)

const (
	// suspectTimeout is how long an alive member may be silent before it is suspect. Members broadcast their counts twice a
	// second in a fleet of at most fullRateMembers, and less often in larger ones, where the timeout grows too.
	suspectTimeout  = 3 * time.Second
	fullRateMembers = 64
)

// Member states.
const (
	Alive   = "alive"
	Suspect = "suspect" // alive, but nothing has been received from it recently
	Left    = "left"    // shut down on purpose
	Gone    = "gone"    // dead or unreachable
)

// Reason codes of changes.
const (
	Joined    = "joined"
	Returned  = "returned"   // the same process is alive again after it had left or gone
	Restarted = "restarted"  // a new process of the same name
	NameTaken = "name-taken" // another process uses this instance's name
	NameFree  = "name-free"
)

// Member is an instance of the fleet, as this instance sees it.
type Member struct {
	Name      string    `json:"name"`
	Addr      string    `json:"addr"`
	Site      string    `json:"site"`
	Machine   string    `json:"machine"`
	Epoch     uint64    `json:"epoch"` // of its process
	StartedAt time.Time `json:"started"`
	Version   string    `json:"version"`
	State     string    `json:"state"`
	Since     time.Time `json:"since"`
	Starts    int       `json:"starts"` // number of its processes that have been seen
	Self      bool      `json:"self,omitempty"`
}

// Change is a change of a member's state.
type Change struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	State  string    `json:"state"`
	Reason string    `json:"reason"`
}

// memberInfo is what a member publishes about itself, as the membership library's node metadata.
type memberInfo struct {
	Site      string `codec:"s"`
	Machine   string `codec:"m"`
	Epoch     uint64 `codec:"e"`
	StartedAt int64  `codec:"t"` // Unix milliseconds
	Version   string `codec:"v"`
	Leaving   bool   `codec:"l"` // the library's events do not tell a member that leaves from one that dies
}

// Members lists all known members in the order of their names, including those that have left or gone.
func (p *Peers) Members() (all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := suspectTimeout * time.Duration(1+len(p.members)/fullRateMembers)
	for name, m := range p.members {
		member := *m
		if m.State == Alive && !m.Self && time.Since(p.lastHeard[name]) > timeout && time.Since(m.Since) > timeout {
			member.State = Suspect
		}
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}
