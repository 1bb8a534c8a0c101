package peers

import (
	"encoding/json"
	"os"

	"github.com/google/renameio/v2"
)

// remember writes the members' addresses down, for a start at which all seeds are away.
func (p *Peers) remember() {
	if p.o.Remember == "" {
		return
	}
	var all []string
	for _, m := range p.Members() {
		if !m.Self && m.State != Left {
			all = append(all, m.Name+"/"+m.Addr)
		}
	}
	if len(all) == 0 {
		return // knowing nobody is no news worth keeping
	}
	b, err := json.Marshal(all)
	if err == nil {
		err = renameio.WriteFile(p.o.Remember, b, 0o600)
	}
	if err != nil {
		p.log.Warn("members not remembered", "reason", "disk", "err", err)
	}
}

func (p *Peers) remembered() (all []string) {
	if p.o.Remember == "" {
		return nil
	}
	b, err := os.ReadFile(p.o.Remember)
	if err != nil {
		return nil
	}
	if json.Unmarshal(b, &all) != nil {
		p.log.Warn("remembered members left out", "reason", "unreadable", "file", p.o.Remember)
		return nil
	}
	return all[:min(len(all), memberlistMost)]
}
