package peers

import (
	"errors"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate implements the callbacks of the membership library. None of them may block.
type delegate Peers

// NodeMeta implements memberlist.Delegate. It returns the metadata that this member publishes about itself.
func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	info := d.self
	d.mu.Unlock()
	b, _ := Encode(info)
	return b
}

// NotifyMsg implements memberlist.Delegate. It queues a message of another member.
func (d *delegate) NotifyMsg(b []byte) {
	d.received.Add(1)
	select {
	case d.inbound <- envelope{payload: append([]byte(nil), b...), createdAt: time.Now()}:
	default:
		d.dropped.Add(1)
	}
}

// GetBroadcasts implements memberlist.Delegate. Nothing is gossiped: broadcasts are sent to each member directly.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyAlive implements memberlist.AliveDelegate: it rejects nodes that are not instances of this program.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	var info memberInfo
	if err := decode(n.Meta, &info); err != nil || info.Epoch == 0 || len(n.Name) > MaxNameLength {
		return errors.New("node metadata is missing, invalid or has no epoch, or the name is too long")
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Alive) }

// NotifyLeave implements memberlist.EventDelegate.
func (d *delegate) NotifyLeave(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Gone) }

// NotifyConflict implements memberlist.ConflictDelegate: two processes use the same name. The one that started later gives
// way: it sends nothing and takes no part in decisions until the name is free.
func (d *delegate) NotifyConflict(known, other *memberlist.Node) {
	p := (*Peers)(d)
	var info memberInfo
	if decode(other.Meta, &info) != nil || info.Epoch == p.options.Epoch {
		return
	}
	p.log.Error("two processes of one name", "reason", NameTaken, "member", known.Name, "addr", known.Address(), "other", other.Address())
	if known.Name != p.options.Name {
		return
	}
	p.mu.Lock()
	own := p.self
	p.mu.Unlock()
	otherIsFirst := info.StartedAt < own.StartedAt || info.StartedAt == own.StartedAt && info.Epoch < own.Epoch
	if otherIsFirst {
		p.mu.Lock()
		p.nameTakenBy = other.Address()
		p.recordChange(p.options.Name, Gone, NameTaken)
		p.mu.Unlock()
	}
}
