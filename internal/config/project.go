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

// ProjectFile is where the operators' settings lie, unless MASTHILL_SETTINGS names another file: several instances on
// one machine need one each. OldFile and MASTHILL_CALLWS are the names before; they still work, with a warning.
const (
	OperatorSettingsFile   = "deploy/masthill.toml"
	DeprecatedSettingsFile = "deploy/callws.toml"
)

// tokenLeast is the length under which a caller's token is a guess.
const tokenLeast = 16

// Schema is the published JSON Schema of the operators' settings; masthill check --schema prints it.
//
//go:embed masthill.schema.json
var OperatorSettingsSchema []byte

// Project is what the operators' settings say. Without the file everything is off.
type OperatorSettings struct {
	File           string `toml:"-"` // empty: there is none
	DeprecatedName bool   `toml:"-"` // found under a name of before
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
		Levels     map[string]string `toml:"levels"` // by part
		MaxRepeats int               `toml:"repeats"`
	} `toml:"log"`
}

// projectPath tells which file holds the settings; empty: none.
func projectPath(getenv func(string) string) (path string, old bool) {
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

// LoadProject reads the operators' settings. Values of tokens and of the store's dsn may be "env:NAME". The error is a
// Faults with all that is wrong.
func LoadOperatorSettings(getenv func(string) string) (*OperatorSettings, error) {
	path, old := projectPath(getenv)
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

// ParseProject reads the text of the settings; file is its name for faults.
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
	p.defaults()
	p.checkStore(getenv, fault)
	p.checkCallWS(getenv, fault)
	p.checkPeers(getenv, fault)
	p.checkDistribution(getenv, fault)
	if p.State.Interval < 100*time.Millisecond {
		fault("state.every", "%v is under 100ms: a snapshot is written that often", p.State.Interval)
	}
	if p.State.MaxAge < p.State.Interval {
		fault("state.most_age", "%v is under state.every: every snapshot would be too old", p.State.MaxAge)
	}
	for key, path := range map[string]string{"state.dir": p.State.Dir, "socket.path": p.Socket.Path, "peers.audit": p.Peers.AuditFile,
		"distribution.dir": p.Distribution.Dir} {
		if path != "" && !filepath.IsAbs(path) {
			fault(key, "%q is no absolute path", path)
		}
	}
	if len(faults) > 0 {
		return nil, sorted(faults)
	}
	return p, nil
}

// DecodeTOML reads a TOML file into a value after holding it against a schema. line finds the line of a key for further
// faults; the faults are in the order of the lines.
func DecodeTOML(file, text string, schema []byte, into any) (line func(path []string) int, faults Faults) {
	line = tomlLine(text)
	var doc map[string]any
	if _, err := toml.Decode(text, &doc); err != nil {
		var bad toml.ParseError
		if errors.As(err, &bad) {
			return line, Faults{{file, bad.Position.Line, bad.LastKey, bad.Message}}
		}
		return line, Faults{{File: file, Text: err.Error()}}
	}
	if len(doc) == 0 { // an empty file; compiling the schema for it would only cost memory
		return line, nil
	}
	if faults = validate(schema, doc, file, line); len(faults) > 0 {
		return line, sorted(faults)
	}
	if _, err := toml.Decode(text, into); err != nil { // durations that overflow, say
		return line, Faults{{File: file, Text: err.Error()}}
	}
	return line, nil
}

// defaults are the figures for keys that are left out.
func (p *OperatorSettings) defaults() {
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

func (p *OperatorSettings) checkStore(getenv func(string) string, fault func(key, format string, a ...any)) {
	dsn, err := secret(p.Store.DSN, getenv)
	if err != nil {
		fault("store.dsn", "%v", err)
	} else if p.Store.Driver != "" && dsn == "" {
		fault("store.dsn", "missing")
	}
	p.Store.DSN = dsn
}

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
	checkTokens("callws.callers", p.CallWS.Callers, getenv, fault)
}

// sorted puts faults in the order of their lines.
func sorted(f Faults) Faults {
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line || f[i].Line == f[j].Line && f[i].Key < f[j].Key })
	return f
}

// secret resolves a value that stands in the environment.
func secret(value string, getenv func(string) string) (string, error) {
	name, ok := strings.CutPrefix(value, "env:")
	if !ok {
		return value, nil
	}
	if value = getenv(name); value == "" {
		return "", fmt.Errorf("%s is not set in the environment", name)
	}
	return value, nil
}
