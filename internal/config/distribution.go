package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"time"
)

// Distribution holds the settings of an instance that receives configuration releases.
type Distribution struct {
	Servers    []string            `toml:"servers"` // empty: off
	Fleet      string              `toml:"fleet"`
	Zone       string              `toml:"zone"`
	Keys       []string            `toml:"keys"`
	PublicKeys []ed25519.PublicKey `toml:"-"` // Keys, decoded
	MaxAge     time.Duration       `toml:"max_age"`
	Dir        string              `toml:"dir"` // empty: the release is not stored across restarts
}

// minMaxAge covers a few polls of a server; defaultMaxAge leaves time to switch to another server.
const minMaxAge, defaultMaxAge = 3 * time.Second, 10 * time.Second

// checkDistribution sets defaults, checks the settings for configuration releases and decodes the public keys.
func (p *OperatorSettings) checkDistribution(getenv func(string) string, fault func(key, format string, a ...any)) {
	s := &p.Distribution
	if s.MaxAge == 0 {
		s.MaxAge = defaultMaxAge
	}
	if len(s.Servers) == 0 {
		return
	}
	for k, server := range s.Servers {
		if _, _, err := net.SplitHostPort(server); err != nil {
			fault("distribution.servers", "%q: %v", server, err)
		}
		if slices.Contains(s.Servers[:k], server) {
			fault("distribution.servers", "%q is listed twice", server)
		}
	}
	if s.Fleet == "" {
		fault("distribution.fleet", "missing")
	}
	if len(s.Keys) == 0 {
		fault("distribution.keys", "missing: releases could not be verified")
	}
	for k, text := range s.Keys {
		text, err := resolveSecret(text, getenv)
		var key ed25519.PublicKey
		if err == nil {
			key, err = ParsePublicKey(text)
		}
		if err != nil {
			fault("distribution.keys", "key %d: %v", k+1, err)
			continue
		}
		s.PublicKeys = append(s.PublicKeys, key)
	}
	if s.MaxAge < minMaxAge {
		fault("distribution.max_age", "%v is under %v: a single lost poll would make the instance stale", s.MaxAge, minMaxAge)
	}
}

// ParsePublicKey decodes an operator's public key (ed25519, base64).
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	if len(b) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("%d bytes: wanted %d", len(b), ed25519.PublicKeySize)
	}
	return b, nil
}
