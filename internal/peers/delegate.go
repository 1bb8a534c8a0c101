package peers

import (
	"errors"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate is what the library calls; none of it may block.
type delegate Peers

func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	m := d.self
	d.mu.Unlock()
	b, _ := Encode(m)
	return b
}

func (d *delegate) NotifyMsg(b []byte) {
	d.received.Add(1)
	select {
	case d.inbound <- []envelope{{payload: append([]byte(nil), b...), createdAt: time.Now()}}:
	default:
		d.dropped.Add(1)
	}
}

func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil } // what is for all is sent to all

func (d *delegate) LocalState(bool) []byte { return nil }

func (d *delegate) MergeRemoteState([]byte, bool) {}

// NotifyAlive refuses whoever is no instance of this program.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	var m memberInfo
	if err := decode(n.Meta, &m); err != nil || m.Epoch == 0 || len(n.Name) > MaxNameLength {
		return errors.New("no member's description")
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Alive) }

func (d *delegate) NotifyUpdate(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Alive) }

func (d *delegate) NotifyLeave(n *memberlist.Node) { (*Peers)(d).memberChanged(n, Gone) }

// NotifyConflict takes that two processes have one name. The one that started later gives way: it says nothing to anybody
// until the name is free, so that it takes no part in any decision.
func (d *delegate) NotifyConflict(known, other *memberlist.Node) {
	p := (*Peers)(d)
	var m memberInfo
	if decode(other.Meta, &m) != nil || m.Epoch == p.options.Epoch {
		return
	}
	p.log.Error("two processes of one name", "reason", NameTaken, "member", known.Name, "addr", known.Address(), "other", other.Address())
	if known.Name != p.options.Name {
		return
	}
	if mine := p.self; m.Started < mine.Started || m.Started == mine.Started && m.Epoch < mine.Epoch {
		p.mu.Lock()
		p.nameTakenBy = other.Address()
		p.recordChange(p.options.Name, Gone, NameTaken)
		p.mu.Unlock()
	}
}
