package peers

import "slices"

// SetKeys replaces the encryption keys while the fleet runs. From then on the first one encrypts, and all of them decrypt.
func (p *Peers) SetKeys(keys [][]byte) error {
	for _, key := range keys {
		if err := p.keyring.AddKey(key); err != nil {
			return err
		}
	}
	if err := p.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range p.keyring.GetKeys() {
		kept := slices.ContainsFunc(keys, func(key []byte) bool { return slices.Equal(key, old) })
		if !kept {
			p.keyring.RemoveKey(old)
		}
	}
	p.log.Info("keys changed", "reason", "reload", "keys", len(keys))
	return nil
}
