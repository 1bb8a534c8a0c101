package peers

import (
	"slices"
	"strings"
	"time"
)

const (
	suspectTimeout = 3 * time.Second // a member tells its counts twice a second, in large fleets more rarely
	// fullRateMembers is up to how many members each tells the others its counts twice a second; larger fleets do it more rarely.
	fullRateMembers = 64
	maxChanges      = 64 // that are kept for operators
)

// Member states.
const (
	Alive   = "alive"
	Suspect = "suspect" // nothing of it has been heard of late
	Left    = "left"    // on purpose
	Gone    = "gone"    // it is taken for dead, or cut off
)

// Reason codes of changes.
const (
	Joined    = "joined"
	Returned  = "returned"   // after it had left or gone, with the same process
	Restarted = "restarted"  // a new process
	NameTaken = "name-taken" // another process has this one's name
	NameFree  = "name-free"
)

// Member is one instance as this one sees it.
type Member struct {
	Name    string    `json:"name"`
	Addr    string    `json:"addr"`
	Site    string    `json:"site"`
	Machine string    `json:"machine"`
	Epoch   uint64    `json:"epoch"` // of its process
	Started time.Time `json:"started"`
	Version string    `json:"version"`
	State   string    `json:"state"`
	Since   time.Time `json:"since"`
	Starts  int       `json:"starts"` // processes of it that have been seen
	Self    bool      `json:"self,omitempty"`
}

// Change is one change of a member.
type Change struct {
	At     time.Time `json:"at"`
	Name   string    `json:"name"`
	State  string    `json:"state"`
	Reason string    `json:"reason"`
}

// memberInfo is what a member tells of itself.
type memberInfo struct {
	Site    string `codec:"s"`
	Machine string `codec:"m"`
	Epoch   uint64 `codec:"e"`
	Started int64  `codec:"t"` // Unix milliseconds
	Version string `codec:"v"`
	Leaving bool   `codec:"l"` // the library's own word for it does not reach its events
}

// Members lists the members, those that are gone with them.
func (p *Peers) Members() (all []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	quiet := suspectTimeout * time.Duration(1+len(p.members)/fullRateMembers)
	for name, m := range p.members {
		one := *m
		if one.State == Alive && !one.Self && time.Since(p.lastHeard[name]) > quiet && time.Since(one.Since) > quiet {
			one.State = Suspect
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}
