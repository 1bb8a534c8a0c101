package peers

import (
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxMembers     = 1024
	maxLostMembers = 1024 // members that have left or gone and are still listed
	maxChanges     = 64   // recent state changes that are kept for operators
)

// memberChanged handles an event of the membership library: a member is alive with the published metadata, or gone.
func (p *Peers) memberChanged(n *memberlist.Node, state string) {
	var info memberInfo
	if decode(n.Meta, &info) != nil {
		return
	}
	if info.Leaving && state == Gone {
		state = Left
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.members[n.Name]
	if before == nil && state != Alive {
		return
	}
	if before == nil && len(p.members) >= maxMembers+maxLostMembers {
		p.evictOldestLost()
	}
	now := &Member{
		Name:      n.Name,
		Addr:      n.Address(),
		Site:      info.Site,
		Machine:   info.Machine,
		Epoch:     info.Epoch,
		StartedAt: time.UnixMilli(info.StartedAt),
		Version:   info.Version,
		State:     state,
		Since:     time.Now(),
		Starts:    1,
		Self:      n.Name == p.options.Name,
	}
	reason := changeReason(before, now)
	if before != nil {
		now.Starts = before.Starts
	}
	switch reason {
	case Restarted:
		now.Starts++
	case unchanged:
		now.Since = before.Since
	}
	p.members[n.Name] = now
	if now.Self || reason == unchanged {
		return
	}
	p.recordChange(n.Name, state, reason)
	if (state != Alive || reason == Restarted) && !p.stopping {
		// Closing sockets may take time, and the library must not wait for it.
		p.group.Go(func() error { p.sessions.closeMember(n.Name); return nil })
	}
}

// unchanged stands for the reason code of an event that changes no state. It is never logged.
const unchanged = ""

// changeReason returns the reason code of a change of a member's state.
func changeReason(before, now *Member) string {
	switch {
	case before == nil:
		return Joined
	case before.Epoch != now.Epoch && now.State == Alive:
		return Restarted
	case before.State == now.State:
		return unchanged
	case now.State == Alive:
		return Returned
	}
	return now.State
}

// recordChange logs a change and keeps it for operators. The caller holds the lock.
func (p *Peers) recordChange(name, state, reason string) {
	p.log.Info("member", "name", name, "state", state, "reason", reason)
	p.changes = append(p.changes, Change{time.Now(), name, state, reason})
	p.changes = p.changes[max(0, len(p.changes)-maxChanges):]
	if reason == Gone {
		p.transport.meter.deaths.Add(1)
	}
}

// evictOldestLost removes the member that has not been alive for the longest time. The caller holds the lock.
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
