package config

import (
	_ "embed"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// OperatorSettingsFile is the path of the operators' settings, unless MASTHILL_SETTINGS names another file: several
// instances on one machine need one each. DeprecatedSettingsFile and the variable MASTHILL_CALLWS still work, with a
// warning.
const (
	OperatorSettingsFile   = "deploy/masthill.toml"
	DeprecatedSettingsFile = "deploy/callws.toml"
)

// minTokenLength is the length below which a caller's token could be guessed.
const minTokenLength = 16

// OperatorSettingsSchema is the published JSON Schema of the operators' settings; masthill check --schema prints it.
//
//go:embed masthill.schema.json
var OperatorSettingsSchema []byte

// OperatorSettings are the settings of the operators. Without a file all optional features are off.
type OperatorSettings struct {
	File           string `toml:"-"` // empty: no file
	DeprecatedName bool   `toml:"-"` // found under a deprecated name
	CallWS         struct {
		Listen  string            `toml:"listen"`  // empty: off
		Callers map[string]string `toml:"callers"` // tokens by identity
	} `toml:"callws"`
	Store struct {
		Driver string `toml:"driver"` // empty: off
		DSN    string `toml:"dsn"`
	} `toml:"store"`
	Recovery struct {
		Enabled bool `toml:"enabled"`
	} `toml:"recovery"`
	Levels struct {
		Enabled bool `toml:"enabled"`
	} `toml:"levels"`
	Shares struct {
		Enabled bool `toml:"enabled"`
	} `toml:"shares"`
	Goodput struct {
		Enabled bool `toml:"enabled"`
	} `toml:"goodput"`
	Peers        Peers        `toml:"peers"`
	Distribution Distribution `toml:"distribution"`
	State        struct {
		Dir      string        `toml:"dir"` // empty: off
		Interval time.Duration `toml:"every"`
		MaxAge   time.Duration `toml:"most_age"`
	} `toml:"state"`
	Socket struct {
		Path string `toml:"path"` // empty: off
	} `toml:"socket"`
	Log struct {
		Format     string            `toml:"format"`
		Level      string            `toml:"level"`
		Levels     map[string]string `toml:"levels"` // by part of the program
		MaxRepeats int               `toml:"repeats"`
	} `toml:"log"`
}

// settingsPath returns the path of the settings file, empty if there is none, and whether it has a deprecated name.
func settingsPath(getenv func(string) string) (path string, old bool) {
	if path = getenv("MASTHILL_SETTINGS"); path != "" {
		return path, false
	}
	if path = getenv("MASTHILL_CALLWS"); path != "" {
		return path, true
	}
	if _, err := os.Stat(OperatorSettingsFile); errors.Is(err, fs.ErrNotExist) {
		if _, err := os.Stat(DeprecatedSettingsFile); err == nil {
			return DeprecatedSettingsFile, true
		}
		return "", false
	}
	return OperatorSettingsFile, false
}

// LoadOperatorSettings reads the operators' settings. Tokens, keys and the store's DSN may be given as "env:NAME". The error
// is a Faults that lists everything that is wrong.
func LoadOperatorSettings(getenv func(string) string) (*OperatorSettings, error) {
	path, old := settingsPath(getenv)
	if path == "" {
		return ParseOperatorSettings("", "", getenv)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Text: err.Error()}}
	}
	p, err := ParseOperatorSettings(path, string(data), getenv)
	if err != nil {
		return nil, err
	}
	p.DeprecatedName = old
	return p, nil
}

// ParseOperatorSettings reads the text of the settings; faults name it as file.
func ParseOperatorSettings(file, text string, getenv func(string) string) (*OperatorSettings, error) {
	p := &OperatorSettings{File: file}
	line, faults := DecodeTOML(file, text, OperatorSettingsSchema, p)
	if len(faults) > 0 {
		return nil, faults
	}
	fault := func(key, format string, a ...any) {
		faults = append(faults, Fault{file, line(strings.Split(key, ".")), key, fmt.Sprintf(format, a...)})
	}
	if path := getenv("MASTHILL_SOCKET"); path != "" {
		p.Socket.Path = path
	}
	p.setDefaults()
	p.checkStore(getenv, fault)
	p.checkCallWS(getenv, fault)
	p.checkPeers(getenv, fault)
	p.checkDistribution(getenv, fault)
	if p.State.Interval < 100*time.Millisecond {
		fault("state.every", "%v is under 100ms, the shortest interval between snapshots", p.State.Interval)
	}
	if p.State.MaxAge < p.State.Interval {
		fault("state.most_age", "%v is under state.every: every snapshot would be too old", p.State.MaxAge)
	}
	for key, path := range map[string]string{"state.dir": p.State.Dir, "socket.path": p.Socket.Path, "peers.audit": p.Peers.AuditFile,
		"distribution.dir": p.Distribution.Dir} {
		if path != "" && !filepath.IsAbs(path) {
			fault(key, "%q is not an absolute path", path)
		}
	}
	if len(faults) > 0 {
		return nil, sortByLine(faults)
	}
	return p, nil
}

// DecodeTOML checks a TOML file against a JSON Schema and decodes it into a value. The returned function finds the line of
// a key, for faults that later checks find; the faults are in the order of their lines.
func DecodeTOML(file, text string, schema []byte, into any) (line func(path []string) int, faults Faults) {
	line = tomlLine(text)
	var doc map[string]any
	if _, err := toml.Decode(text, &doc); err != nil {
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			return line, Faults{{file, parseError.Position.Line, parseError.LastKey, parseError.Message}}
		}
		return line, Faults{{File: file, Text: err.Error()}}
	}
	if len(doc) == 0 { // an empty file is valid; compiling the schema would waste memory
		return line, nil
	}
	if faults = validate(schema, doc, file, line); len(faults) > 0 {
		return line, sortByLine(faults)
	}
	if _, err := toml.Decode(text, into); err != nil { // such as a duration that overflows
		return line, Faults{{File: file, Text: err.Error()}}
	}
	return line, nil
}

// setDefaults fills in the values of keys that are left out.
func (p *OperatorSettings) setDefaults() {
	if p.State.Interval == 0 {
		p.State.Interval = 2 * time.Second
	}
	if p.State.MaxAge == 0 {
		p.State.MaxAge = 2 * time.Minute
	}
	if p.Log.Format == "" {
		p.Log.Format = "text"
	}
	if p.Log.Level == "" {
		p.Log.Level = "info"
	}
	if p.Log.MaxRepeats == 0 {
		p.Log.MaxRepeats = 200
	}
}

// checkStore checks the settings of the store and resolves its DSN.
func (p *OperatorSettings) checkStore(getenv func(string) string, fault func(key, format string, a ...any)) {
	dsn, err := resolveSecret(p.Store.DSN, getenv)
	if err != nil {
		fault("store.dsn", "%v", err)
	} else if p.Store.Driver != "" && dsn == "" {
		fault("store.dsn", "missing")
	}
	p.Store.DSN = dsn
}

// checkCallWS checks the settings of call control over WebSocket and resolves the tokens.
func (p *OperatorSettings) checkCallWS(getenv func(string) string, fault func(key, format string, a ...any)) {
	if p.CallWS.Listen == "" {
		return
	}
	if _, _, err := net.SplitHostPort(p.CallWS.Listen); err != nil {
		fault("callws.listen", "%v", err)
	}
	if len(p.CallWS.Callers) == 0 {
		fault("callws.callers", "no caller could connect")
	}
	resolveTokens("callws.callers", p.CallWS.Callers, getenv, fault)
}

// sortByLine sorts faults in place by line, then by key.
func sortByLine(f Faults) Faults {
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line || f[i].Line == f[j].Line && f[i].Key < f[j].Key })
	return f
}

// resolveSecret returns a value, or for "env:NAME" that of the environment variable.
func resolveSecret(value string, getenv func(string) string) (string, error) {
	name, ok := strings.CutPrefix(value, "env:")
	if !ok {
		return value, nil
	}
	if value = getenv(name); value == "" {
		return "", fmt.Errorf("%s is not set in the environment", name)
	}
	return value, nil
}
