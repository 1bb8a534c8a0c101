package config

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Peers holds the settings for communication with other instances.
type Peers struct {
	Listen         string            `toml:"listen"` // empty: off
	Advertise      string            `toml:"advertise"`
	Name           string            `toml:"name"` // empty: the instance's name
	Site           string            `toml:"site"`
	Machine        string            `toml:"machine"`
	Seeds          []string          `toml:"seeds"` // host:port, optionally as name/host:port
	Keys           []string          `toml:"keys"`
	DecodedKeys    [][]byte          `toml:"-"` // Keys, decoded
	Voters         []string          `toml:"keepers"`
	MaxInstances   int               `toml:"most"`  // 0: the platform's group size
	FloorFraction  float64           `toml:"floor"` // of each budget, usable without a lease
	Term           time.Duration     `toml:"term"`
	Budgets        bool              `toml:"budgets"`
	DetectOutliers bool              `toml:"judgements"`
	CountedNumbers []string          `toml:"numbers"`
	AuditFile      string            `toml:"audit"`
	AddrOverrides  map[string]string `toml:"via"` // by member name
}

// minTerm is several round trips between sites; within maxTerm a cold server warms up even without its budget.
const minTerm, maxTerm = 500 * time.Millisecond, 10 * time.Second

// checkPeers sets defaults, checks the settings for peers and decodes the keys.
func (p *OperatorSettings) checkPeers(getenv func(string) string, fault func(key, format string, a ...any)) {
	s := &p.Peers
	if s.Term == 0 {
		s.Term = 2 * time.Second
	}
	if s.Listen == "" {
		return
	}
	for key, addr := range map[string]string{"peers.listen": s.Listen, "peers.advertise": s.Advertise} {
		if _, _, err := net.SplitHostPort(addr); err != nil && addr != "" {
			fault(key, "%v", err)
		}
	}
	advertised := s.Listen
	if s.Advertise != "" {
		advertised = s.Advertise
	}
	if host, _, err := net.SplitHostPort(advertised); err == nil {
		if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
			fault("peers.listen", "other instances could not reach %q: give an IP address of this machine, here or as peers.advertise", advertised)
		}
	}
	for _, seed := range s.Seeds {
		_, addr, hasName := strings.Cut(seed, "/")
		if !hasName {
			addr = seed
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			fault("peers.seeds", "%q: %v", seed, err)
		}
	}
	if len(s.Keys) == 0 {
		fault("peers.keys", "missing: members exchange encrypted messages only")
	}
	for k, text := range s.Keys {
		text, err := resolveSecret(text, getenv)
		var key []byte
		if err == nil {
			key, err = base64.StdEncoding.DecodeString(text)
		}
		if n := len(key); err == nil && n != 16 && n != 24 && n != 32 {
			err = fmt.Errorf("%d bytes: wanted 16, 24 or 32", n)
		}
		if err != nil {
			fault("peers.keys", "key %d: %v", k+1, err)
			continue
		}
		s.DecodedKeys = append(s.DecodedKeys, key)
	}
	if len(s.Voters)%2 == 0 && len(s.Voters) > 0 {
		fault("peers.keepers", "%d keepers: an odd number is needed, so that a partition leaves a majority on one side at most and one may fail", len(s.Voters))
	}
	if s.Budgets && len(s.Voters) == 0 {
		fault("peers.budgets", "nobody would allocate them: name keepers")
	}
	if s.Term < minTerm || s.Term > maxTerm {
		fault("peers.term", "%v is not between %v and %v", s.Term, minTerm, maxTerm)
	}
	if s.Machine == "" {
		s.Machine, _ = os.Hostname()
	}
}
