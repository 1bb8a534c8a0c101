// Package config reads what an instance is told: the platform's variables and its JSON file, and the
// project's own file for the second front and the store.
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

// Platform is what the platform tells an instance.
type Platform struct {
	Name, Listen, Journal string
	Admin                 string // the operators' second address; empty: none
	Seed                  uint64
	Cores                 float64
	MemoryMB, Sockets     int
	Known                 journal.InitialList
	Settings              control.Settings
	Names                 exchange.Names
	ConnectTimeout        time.Duration
	Shares                []shares.Tenant
	PlannedRate           float64 // load planned for all instances together, in calls a second; 0: not known
}

type file struct {
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

// names are the settings that the module has no use for and the sockets need.
type names struct {
	Grades []struct {
		Name     string `json:"name"`
		Deadline int64  `json:"deadline_ns"`
	} `json:"grades"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Part  float64 `json:"fraction"`
	} `json:"tenants"`
	Extra struct {
		ClassCells [][]int `json:"class_cells"`
	} `json:"extra"`
	Limits struct {
		ConnectTimeout int64 `json:"connect_timeout_ns"`
	} `json:"limits"`
}

// socketsLeast is what an instance needs to serve at all: a listener, the journal and a few connections.
const socketsLeast = 32

// Load reads PROXY_CONFIG; PROXY_NAME, PROXY_LISTEN and PROXY_ADMIN come before what the file says. The error is a Faults with all
// that is wrong.
func Load(getenv func(string) string) (*Platform, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, Faults{{File: "PROXY_CONFIG", Text: "not set"}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: "PROXY_CONFIG", Text: err.Error()}}
	}
	return parse(path, data, getenv)
}

// Parse reads the platform's file.
func Parse(data []byte) (*Platform, error) {
	return parse("PROXY_CONFIG", data, func(string) string { return "" })
}

func parse(path string, data []byte, getenv func(string) string) (*Platform, error) {
	var f file
	var n names
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
	if f.Limits.Sockets < socketsLeast {
		fault("limits.sockets", "%d is under the %d that serving takes", f.Limits.Sockets, socketsLeast)
	}
	if f.Limits.MemoryMB <= 0 {
		fault("limits.memory_mb", "%d is no limit", f.Limits.MemoryMB)
	}
	if !(f.Limits.Cores > 0) {
		fault("limits.cores", "%v is no limit", f.Limits.Cores)
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
		return nil, sorted(faults)
	}
	if err := json.Unmarshal(f.Settings, &n); err != nil {
		fault("settings", "%v", err)
	}
	if p.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		fault("settings", "%v", err)
	} else if err := p.Settings.Check(); err != nil {
		for _, one := range strings.Split(err.Error(), "\n") { // as errors.Join puts them
			key, text, _ := strings.Cut(one, ": ")
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
		p.Names.Classes = append(p.Names.Classes, exchange.Class{Name: g.Name, Deadline: time.Duration(g.Deadline)})
	}
	// A class without pools of its own may go to any: then any first choice may be named.
	if cells := n.Extra.ClassCells; len(cells) > 0 && !slices.ContainsFunc(cells, func(of []int) bool { return len(of) == 0 }) {
		p.Names.Pools = slices.Concat(cells...)
	}
	for _, t := range n.Tenants {
		p.Names.Tenants = append(p.Names.Tenants, t.Name)
		p.PlannedRate += t.Quota
		p.Shares = append(p.Shares, shares.Tenant{Name: t.Name, Fraction: t.Part})
	}
	if len(faults) > 0 {
		return nil, sorted(faults)
	}
	return p, nil
}

// jsonErrorLine is the line of a fault that json found.
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
