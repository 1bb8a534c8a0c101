package config

import (
	_ "embed"
	"fmt"
	"slices"
	"sort"
	"strings"

	"masthill/control/shares"
)

// LiveSchema is the published JSON Schema of what a configuration release may hold.
//
//go:embed live.schema.json
var LiveSettingsSchema []byte

// Live is what a configuration release changes while the program runs. What it leaves out is as the instance's own files
// say.
type LiveSettings struct {
	Shares struct {
		Fractions map[string]float64 `toml:"fractions"` // by tenant
	} `toml:"shares"`
	CallWS struct {
		Callers map[string]string `toml:"callers"` // tokens by identity
	} `toml:"callws"`
	Log struct {
		Level  string            `toml:"level"`
		Levels map[string]string `toml:"levels"` // by part
	} `toml:"log"`
}

// ParseLive reads the content of a release; file is its name for faults. Tokens may be "env:NAME". The error is a Faults
// with all that is wrong.
func ParseLiveSettings(file, text string, getenv func(string) string) (*LiveSettings, error) {
	live := &LiveSettings{}
	line, faults := DecodeTOML(file, text, LiveSettingsSchema, live)
	if len(faults) > 0 {
		return nil, faults
	}
	fault := func(key, format string, a ...any) {
		faults = append(faults, Fault{file, line(strings.Split(key, ".")), key, fmt.Sprintf(format, a...)})
	}
	checkTokens("callws.callers", live.CallWS.Callers, getenv, fault)
	sum := 0.0
	for _, fraction := range live.Shares.Fractions {
		sum += fraction
	}
	if len(live.Shares.Fractions) > 0 && sum <= 0 {
		fault("shares.fractions", "nobody would have a share")
	}
	if len(faults) > 0 {
		return nil, sorted(faults)
	}
	return live, nil
}

// checkTokens resolves the tokens of callers and checks that nobody could take one for another's.
func checkTokens(table string, callers map[string]string, getenv func(string) string, fault func(key, format string, a ...any)) {
	names := make([]string, 0, len(callers))
	for name := range callers {
		names = append(names, name)
	}
	sort.Strings(names)
	owner := map[string]string{}
	for _, name := range names {
		token, err := secret(callers[name], getenv)
		switch {
		case err != nil:
			fault(table+"."+name, "%v", err)
		case len(token) < tokenLeast:
			fault(table+"."+name, "a token has %d characters at least", tokenLeast)
		case owner[token] != "":
			fault(table+"."+name, "the same token as another's")
		}
		callers[name], owner[token] = token, name
	}
}

// TenantFractions are the tenants' fractions with those that the release changes. An unknown tenant is a fault: it would be
// a slip of the pen that nobody notices.
func (l *LiveSettings) TenantFractions(own []shares.Tenant) ([]shares.Tenant, error) {
	tenants := slices.Clone(own)
	var faults Faults
	for name, fraction := range l.Shares.Fractions {
		at := slices.IndexFunc(tenants, func(t shares.Tenant) bool { return t.Name == name })
		if at < 0 {
			faults = append(faults, Fault{Key: "shares.fractions." + name, Text: "no such tenant"})
			continue
		}
		tenants[at].Fraction = fraction
	}
	if len(faults) > 0 {
		return nil, sorted(faults)
	}
	return tenants, nil
}
