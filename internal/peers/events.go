package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxLostMembers bounds the members that are remembered after they are gone, retention how long, and rejoinInterval is how often
	// some of them, and the seeds, are tried: after a cut two halves do not find each other by themselves.
	maxLostMembers, retention = 1024, time.Hour
)

// maxMembers is how many members there may be.
const maxMembers = 1024

// memberChanged takes what the library says of a member.
func (p *Peers) memberChanged(n *memberlist.Node, state string) {
	var m memberInfo
	if decode(n.Meta, &m) != nil {
		return
	}
	if m.Leaving && state == Gone {
		state = Left
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.members[n.Name]
	now := &Member{Name: n.Name, Addr: n.Address(), Site: m.Site, Machine: m.Machine, Epoch: m.Epoch, Started: time.UnixMilli(m.Started), Version: m.Version,
		State: state, Since: time.Now(), Starts: 1, Self: n.Name == p.options.Name}
	reason := Joined
	switch {
	case before == nil && state != Alive:
		return
	case before == nil:
		if len(p.members) >= maxLostMembers+maxMembers {
			p.evictOldestLost()
		}
	case before.Epoch != m.Epoch && state == Alive:
		reason, now.Starts = Restarted, before.Starts+1
	case before.State == state:
		now.Since, now.Starts = before.Since, before.Starts
		p.members[n.Name] = now
		return
	default:
		now.Starts = before.Starts
		if reason = Returned; state != Alive {
			reason = state
		}
	}
	p.members[n.Name] = now
	if !now.Self {
		p.recordChange(n.Name, state, reason)
		if state != Alive || reason == Restarted {
			p.group.Go(func() error { p.sessions.closeMember(n.Name); return nil }) // closes sockets, which the library must not wait for
		}
	}
}

// recordChange logs and keeps a change.
func (p *Peers) recordChange(name, state, reason string) {
	p.log.Info("member", "name", name, "state", state, "reason", reason)
	p.changes = append(p.changes, Change{time.Now(), name, state, reason})
	p.changes = p.changes[max(0, len(p.changes)-maxChanges):]
}

func (p *Peers) evictOldestLost() {
	oldest := ""
	for name, m := range p.members {
		if m.State != Alive && (oldest == "" || m.Since.Before(p.members[oldest].Since)) {
			oldest = name
		}
	}
	delete(p.members, oldest)
	delete(p.lastHeard, oldest)
}
