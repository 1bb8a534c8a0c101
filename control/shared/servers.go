package shared

import (
	"masthill/control"
)

type listed struct {
	in      bool
	readyAt int64
	coldAt  int64 // when it was first taken for cold on somebody's word; 0: it was not
}

// members takes the list.
func (m *Shared) members(ev control.Event) {
	if ev.Full {
		clear(m.servers)
	}
	for _, e := range ev.Entries {
		s := m.servers[e.Server]
		if s == nil || s.readyAt != e.ReadyAt {
			s = &listed{readyAt: e.ReadyAt}
			m.servers[e.Server] = s
		}
		if s.in = e.State == control.In; e.State == control.Out {
			delete(m.servers, e.Server)
		}
	}
	var ids []uint64
	for id, s := range m.servers {
		if s.in {
			ids = append(ids, id)
		}
	}
	m.serving = len(ids)
	m.board.SetServers(ids)
}
