package peers

import (
	"encoding/json"
	"os"

	"github.com/google/renameio/v2"
)

// saveMembers writes the addresses of the other members to a file, so that a later process finds them even if no seed
// answers.
func (p *Peers) saveMembers() {
	if p.options.MembersFile == "" {
		return
	}
	var addrs []string
	for _, m := range p.Members() {
		if !m.Self && m.State != Left {
			addrs = append(addrs, m.Name+"/"+m.Addr)
		}
	}
	if len(addrs) == 0 {
		return // an older list is more useful than an empty one
	}
	b, err := json.Marshal(addrs)
	if err == nil {
		err = renameio.WriteFile(p.options.MembersFile, b, 0o600)
	}
	if err != nil {
		p.log.Warn("members not remembered", "reason", "disk", "err", err)
	}
}

// loadMembers reads the addresses that saveMembers wrote. A missing or damaged file counts as empty.
func (p *Peers) loadMembers() (addrs []string) {
	if p.options.MembersFile == "" {
		return nil
	}
	b, err := os.ReadFile(p.options.MembersFile)
	if err != nil {
		return nil
	}
	if json.Unmarshal(b, &addrs) != nil {
		p.log.Warn("saved members ignored", "reason", "unreadable", "file", p.options.MembersFile)
		return nil
	}
	return addrs[:min(len(addrs), maxMembers)]
}
