package config

import (
	_ "embed"
	"fmt"
	"slices"
	"sort"
	"strings"

	"masthill/control/shares"
)

// LiveSettingsSchema is the published JSON Schema of the content of a configuration release.
//
//go:embed live.schema.json
var LiveSettingsSchema []byte

// LiveSettings are the settings that a configuration release changes while the program runs. For those it leaves out, the
// instance's own files apply.
type LiveSettings struct {
	Shares struct {
		Fractions map[string]float64 `toml:"fractions"` // by tenant
	} `toml:"shares"`
	CallWS struct {
		Callers map[string]string `toml:"callers"` // tokens by identity
	} `toml:"callws"`
	Log struct {
		Level  string            `toml:"level"`
		Levels map[string]string `toml:"levels"` // by part of the program
	} `toml:"log"`
}

// ParseLiveSettings reads the content of a release; faults name it as file. A token may be given as "env:NAME". The error
// is a Faults that lists everything that is wrong.
func ParseLiveSettings(file, text string, getenv func(string) string) (*LiveSettings, error) {
	live := &LiveSettings{}
	line, faults := DecodeTOML(file, text, LiveSettingsSchema, live)
	if len(faults) > 0 {
		return nil, faults
	}
	fault := func(key, format string, a ...any) {
		faults = append(faults, Fault{file, line(strings.Split(key, ".")), key, fmt.Sprintf(format, a...)})
	}
	resolveTokens("callws.callers", live.CallWS.Callers, getenv, fault)
	sum := 0.0
	for _, fraction := range live.Shares.Fractions {
		sum += fraction
	}
	if len(live.Shares.Fractions) > 0 && sum <= 0 {
		fault("shares.fractions", "nobody would have a share: all fractions are 0")
	}
	if len(faults) > 0 {
		return nil, sortByLine(faults)
	}
	return live, nil
}

// resolveTokens replaces "env:NAME" tokens by their values, in callers itself, and checks that tokens are long enough and
// that no two callers have the same one.
func resolveTokens(table string, callers map[string]string, getenv func(string) string, fault func(key, format string, a ...any)) {
	names := make([]string, 0, len(callers))
	for name := range callers {
		names = append(names, name)
	}
	sort.Strings(names)
	owner := map[string]string{}
	for _, name := range names {
		token, err := resolveSecret(callers[name], getenv)
		switch {
		case err != nil:
			fault(table+"."+name, "%v", err)
		case len(token) < minTokenLength:
			fault(table+"."+name, "a token needs at least %d characters", minTokenLength)
		case owner[token] != "":
			fault(table+"."+name, "the same token as that of another caller")
		}
		callers[name], owner[token] = token, name
	}
}

// TenantFractions returns a copy of the configured tenants with the fractions of the release applied. An unknown tenant is
// a fault, as a misspelled name would otherwise go unnoticed.
func (l *LiveSettings) TenantFractions(configured []shares.Tenant) ([]shares.Tenant, error) {
	tenants := slices.Clone(configured)
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
		return nil, sortByLine(faults)
	}
	return tenants, nil
}
