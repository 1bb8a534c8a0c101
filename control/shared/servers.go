package shared

import "masthill/control"

// serverEntry is the state of a listed server.
type serverEntry struct {
	serving     bool
	readyAt     int64
	foundColdAt int64 // when a report first showed it to be cold; 0: none did
}

// setServers applies a full list of servers, or changes of the list.
func (m *Module) setServers(ev control.Event) {
	if ev.FullList {
		clear(m.servers)
	}
	for _, e := range ev.Entries {
		if e.State == control.Removed {
			delete(m.servers, e.Server)
			continue
		}
		s := m.servers[e.Server]
		if s == nil || s.readyAt != e.ReadyAt {
			s = &serverEntry{readyAt: e.ReadyAt}
			m.servers[e.Server] = s
		}
		s.serving = e.State == control.Serving
	}
	var ids []uint64
	for id, s := range m.servers {
		if s.serving {
			ids = append(ids, id)
		}
	}
	m.servingCount = len(ids)
	m.detector.SetServers(ids)
}
