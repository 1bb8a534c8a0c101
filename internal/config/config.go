// Package config reads and checks the configuration of an instance: the platform's environment variables and JSON file,
// the operators' settings (TOML), and the content of configuration releases.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"masthill/control"
	"masthill/control/shares"
	"masthill/internal/exchange"
	"masthill/internal/journal"
	"masthill/internal/wire"
)

// Platform is the configuration that the platform gives an instance.
type Platform struct {
	Name, Listen, Journal string
	Admin                 string // second listening address, for operators; empty: none
	Seed                  uint64
	Cores                 float64
	MemoryMB, Sockets     int
	Known                 journal.InitialList
	Settings              control.Settings
	Names                 exchange.Names
	ConnectTimeout        time.Duration
	Shares                []shares.Tenant
	PlannedRate           float64 // load planned for all instances together, in calls per second; 0: unknown
}

// platformFile is the layout of the platform's JSON file.
type platformFile struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Admin  string `json:"admin"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Journal  string              `json:"journal"`
	Known    journal.InitialList `json:"known"`
	Settings json.RawMessage     `json:"settings"`
}

// socketSettings are the settings that the control modules don't use but the network side needs.
type socketSettings struct {
	Grades []struct {
		Name     string `json:"name"`
		Deadline int64  `json:"deadline_ns"`
	} `json:"grades"`
	Tenants []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"tenants"`
	Extra struct {
		ClassCells [][]int `json:"class_cells"`
	} `json:"extra"`
	Limits struct {
		ConnectTimeout int64 `json:"connect_timeout_ns"`
	} `json:"limits"`
}

// minSockets is the least an instance needs to serve: a listener, the journal and a few connections.
const minSockets = 32

// Load reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_ADMIN override its values. The error is
// a Faults that lists everything that is wrong.
func Load(getenv func(string) string) (*Platform, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, Faults{{File: "PROXY_CONFIG", Text: "not set"}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: "PROXY_CONFIG", Text: err.Error()}}
	}
	return parsePlatform(path, data, getenv)
}

// Parse reads the content of the platform's file, without environment variables.
func Parse(data []byte) (*Platform, error) {
	return parsePlatform("PROXY_CONFIG", data, func(string) string { return "" })
}

func parsePlatform(path string, data []byte, getenv func(string) string) (*Platform, error) {
	var f platformFile
	var n socketSettings
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, Faults{{path, jsonErrorLine(data, err), "", "PROXY_CONFIG: " + err.Error()}}
	}
	var faults Faults
	line := jsonLine(data)
	fault := func(key, format string, a ...any) {
		at := strings.FieldsFunc(key, func(c rune) bool { return c == '.' || c == '[' || c == ']' })
		faults = append(faults, Fault{path, line(at), key, fmt.Sprintf(format, a...)})
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		fault("seed", "%q is not 16 hex digits", f.Seed)
	}
	if f.Limits.Sockets < minSockets {
		fault("limits.sockets", "%d is under the minimum of %d", f.Limits.Sockets, minSockets)
	}
	if f.Limits.MemoryMB <= 0 {
		fault("limits.memory_mb", "%d is not positive", f.Limits.MemoryMB)
	}
	if !(f.Limits.Cores > 0) {
		fault("limits.cores", "%v is not positive", f.Limits.Cores)
	}
	if _, _, err := net.SplitHostPort(f.Journal); err != nil {
		fault("journal", "%v", err)
	}
	p := &Platform{Name: f.Name, Listen: f.Listen, Admin: f.Admin, Journal: f.Journal, Seed: seed, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Known: f.Known}
	if v := getenv("PROXY_NAME"); v != "" {
		p.Name = v
	}
	if v := getenv("PROXY_LISTEN"); v != "" {
		p.Listen = v
	}
	if _, _, err := net.SplitHostPort(p.Listen); err != nil {
		fault("listen", "%v", err)
	}
	if v := getenv("PROXY_ADMIN"); v != "" {
		p.Admin = v
	}
	if _, _, err := net.SplitHostPort(p.Admin); p.Admin != "" && err != nil {
		fault("admin", "%v", err)
	}
	if f.Settings == nil {
		fault("settings", "missing")
		return nil, sortByLine(faults)
	}
	if err := json.Unmarshal(f.Settings, &n); err != nil {
		fault("settings", "%v", err)
	}
	if p.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		fault("settings", "%v", err)
	} else if err := p.Settings.Check(); err != nil {
		for _, message := range strings.Split(err.Error(), "\n") { // errors.Join separates errors by newlines
			key, text, _ := strings.Cut(message, ": ")
			fault("settings."+key, "%s", text)
		}
	}
	if p.ConnectTimeout = time.Duration(n.Limits.ConnectTimeout); p.ConnectTimeout <= 0 {
		fault("settings.limits.connect_timeout_ns", "missing or not positive")
	}
	for k, g := range n.Grades {
		if g.Name == "" {
			fault(fmt.Sprintf("settings.grades[%d].name", k), "missing")
		}
		class := exchange.Class{Name: g.Name, Deadline: time.Duration(g.Deadline)}
		if k < len(p.Settings.Classes) { // else a fault was found in them
			class.Effect = p.Settings.Classes[k].Effect
		}
		p.Names.Classes = append(p.Names.Classes, class)
	}
	// A class without pools of its own may use any pool; in that case any pool may be named as the first choice.
	if cells := n.Extra.ClassCells; len(cells) > 0 && !slices.ContainsFunc(cells, func(of []int) bool { return len(of) == 0 }) {
		p.Names.Pools = slices.Concat(cells...)
	}
	for _, t := range n.Tenants {
		p.Names.Tenants = append(p.Names.Tenants, t.Name)
		p.PlannedRate += t.Quota
		p.Shares = append(p.Shares, shares.Tenant{Name: t.Name, Fraction: t.Fraction})
	}
	if len(faults) > 0 {
		return nil, sortByLine(faults)
	}
	return p, nil
}

// jsonErrorLine returns the line of an error that encoding/json reported; 0 if it is not known.
func jsonErrorLine(data []byte, err error) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(0)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	default:
		return 0
	}
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}
