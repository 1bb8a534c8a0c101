package peers

import (
	"encoding/json"
	"os"

	"github.com/google/renameio/v2"
)

// saveMembers writes the members' addresses down, for a start at which all seeds are away.
func (p *Peers) saveMembers() {
	if p.options.Remember == "" {
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
		err = renameio.WriteFile(p.options.Remember, b, 0o600)
	}
	if err != nil {
		p.log.Warn("members not remembered", "reason", "disk", "err", err)
	}
}

func (p *Peers) loadMembers() (all []string) {
	if p.options.Remember == "" {
		return nil
	}
	b, err := os.ReadFile(p.options.Remember)
	if err != nil {
		return nil
	}
	if json.Unmarshal(b, &all) != nil {
		p.log.Warn("remembered members left out", "reason", "unreadable", "file", p.options.Remember)
		return nil
	}
	return all[:min(len(all), maxMembers)]
}
