package config

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// Peers are the settings of an instance that knows of others.
type Peers struct {
	Listen         string            `toml:"listen"` // empty: off
	Advertise      string            `toml:"advertise"`
	Name           string            `toml:"name"` // empty: the instance's
	Site           string            `toml:"site"`
	Machine        string            `toml:"machine"`
	Seeds          []string          `toml:"seeds"`
	Keys           []string          `toml:"keys"`
	DecodedKeys    [][]byte          `toml:"-"` // what the keys say
	Voters         []string          `toml:"keepers"`
	MaxInstances   int               `toml:"most"`
	FloorFraction  float64           `toml:"floor"`
	Term           time.Duration     `toml:"term"`
	Budgets        bool              `toml:"budgets"`
	DetectOutliers bool              `toml:"judgements"`
	CountedNumbers []string          `toml:"numbers"`
	AuditFile      string            `toml:"audit"`
	AddrOverrides  map[string]string `toml:"via"`
}

// termLeast is several round trips between districts; termMost a time in which a cold server is warm without its budget.
const termLeast, termMost = 500 * time.Millisecond, 10 * time.Second

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
	told := s.Listen
	if s.Advertise != "" {
		told = s.Advertise
	}
	if host, _, err := net.SplitHostPort(told); err == nil {
		if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
			fault("peers.listen", "others could not reach %q: name an IP address of this machine, here or as peers.advertise", told)
		}
	}
	for _, seed := range s.Seeds {
		_, addr, named := strings.Cut(seed, "/")
		if !named {
			addr = seed
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			fault("peers.seeds", "%q: %v", seed, err)
		}
	}
	if len(s.Keys) == 0 {
		fault("peers.keys", "missing: members speak to each other sealed only")
	}
	for k, text := range s.Keys {
		text, err := secret(text, getenv)
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
		fault("peers.keepers", "%d keepers: an odd number, so that every cut leaves a majority on one side at most and one may be away", len(s.Voters))
	}
	if s.Budgets && len(s.Voters) == 0 {
		fault("peers.budgets", "nobody would hand them out: name keepers")
	}
	if s.Term < termLeast || s.Term > termMost {
		fault("peers.term", "%v is not between %v and %v", s.Term, termLeast, termMost)
	}
	if s.Machine == "" {
		s.Machine, _ = os.Hostname()
	}
}
