package peers

import "slices"

// Keys replaces the encryption keys while the fleet runs: from now on the first one encrypts, and all of them decrypt.
func (p *Peers) SetKeys(keys [][]byte) error {
	for _, key := range keys {
		if err := p.ring.AddKey(key); err != nil {
			return err
		}
	}
	if err := p.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.ring.GetKeys() {
		kept := slices.ContainsFunc(keys, func(key []byte) bool { return slices.Equal(key, old) })
		if !kept {
			p.ring.RemoveKey(old)
		}
	}
	p.log.Info("keys changed", "reason", "reload", "keys", len(keys))
	return nil
}
