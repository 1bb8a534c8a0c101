package peers

import (
	"slices"
)

// Keys changes the keys while the fleet runs: the first seals from now on, all of them open.
func (p *Peers) Keys(keys [][]byte) error {
	for _, k := range keys {
		if err := p.ring.AddKey(k); err != nil {
			return err
		}
	}
	if err := p.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return slices.Equal(k, old) }) {
			p.ring.RemoveKey(old)
		}
	}
	p.log.Info("keys changed", "reason", "reload", "keys", len(keys))
	return nil
}
