// Package fleet supervises many instances of the program on one machine. It starts them from one file and templates, each
// in a folder of its own, restarts them with increasing waits when they end unexpectedly, passes listening sockets on so
// that no connection is lost between two processes, and carries out the rollouts that control/rollout decides. A
// supervisor that was killed and restarted adopts the running instances.
package fleet

import (
	_ "embed"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"masthill/control/rollout"
	"masthill/internal/config"
)

// Schema is the published JSON Schema of a fleet's specification file.
//
//go:embed fleet.schema.json
var Schema []byte

// Spec is the content of a fleet's specification file. Relative paths in it start from the file's folder.
type Spec struct {
	File      string `toml:"-"`
	Name      string `toml:"name"`
	Dir       string `toml:"dir"`     // for the fleet's state, with a folder for each instance
	Program   string `toml:"program"` // empty: the one that runs the fleet
	Instances int    `toml:"instances"`
	Listen    string `toml:"listen"`   // of the first instance; the others get the following ports. Port 0: chosen by the system
	CallWS    string `toml:"callws"`   // the same for call control over WebSocket; empty: off
	Platform  string `toml:"platform"` // template of the platform's file
	Settings  string `toml:"settings"` // template of the operators' settings; empty: none
	Rollout   struct {
		MostAway    float64       `toml:"most_away"`
		HealthyFor  time.Duration `toml:"healthy_for"`
		StartWithin time.Duration `toml:"start_within"`
		ColdMost    time.Duration `toml:"cold_most"`
		StopWithin  time.Duration `toml:"stop_within"` // between SIGTERM and SIGKILL
		Back        *bool         `toml:"back"`
	} `toml:"rollout"`
}

// Load reads and checks a fleet's specification file. The error is a config.Faults.
func Load(file string) (*Spec, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, config.Faults{{File: file, Text: err.Error()}}
	}
	s := &Spec{File: file}
	line, faults := config.DecodeTOML(file, string(text), Schema, s)
	if len(faults) > 0 {
		return nil, faults
	}
	fault := func(key, format string, a ...any) {
		faults = append(faults, config.Fault{File: file, Line: line(strings.Split(key, ".")), Key: key, Text: fmt.Sprintf(format, a...)})
	}
	for _, f := range []struct {
		key       string
		path      *string
		required  bool
		mustExist bool
	}{{"dir", &s.Dir, true, false}, {"program", &s.Program, false, true}, {"platform", &s.Platform, true, true}, {"settings", &s.Settings, false, true}} {
		if *f.path == "" {
			if f.required {
				fault(f.key, "missing")
			}
			continue
		}
		if !filepath.IsAbs(*f.path) {
			*f.path = filepath.Join(filepath.Dir(file), *f.path)
		}
		if abs, err := filepath.Abs(*f.path); err == nil {
			*f.path = abs
		}
		if _, err := os.Stat(*f.path); f.mustExist && err != nil {
			fault(f.key, "%v", err)
		}
	}
	for key, addr := range map[string]string{"listen": s.Listen, "callws": s.CallWS} {
		if addr == "" && key == "callws" {
			continue
		}
		if _, err := instanceAddr(addr, s.Instances-1); err != nil {
			fault(key, "%v", err)
		}
	}
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	if s.Rollout.MostAway == 0 {
		s.Rollout.MostAway = 0.2
	}
	setDefault(&s.Rollout.HealthyFor, 5*time.Second)
	setDefault(&s.Rollout.StartWithin, 15*time.Second)
	setDefault(&s.Rollout.ColdMost, time.Minute)
	setDefault(&s.Rollout.StopWithin, 6*time.Second)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// limits returns the limits for rollouts.
func (s *Spec) limits() rollout.Limits {
	return rollout.Limits{MaxAwayFraction: s.Rollout.MostAway, HealthyFor: int64(s.Rollout.HealthyFor), StartWithin: int64(s.Rollout.StartWithin),
		MaxColdPause: int64(s.Rollout.ColdMost), RollBack: s.Rollout.Back == nil || *s.Rollout.Back}
}

// instanceAddr returns the address of the n-th instance: the same host, with the port increased by n unless it is 0.
func instanceAddr(addr string, n int) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	first, err := strconv.Atoi(port)
	if err != nil || first < 0 || first > 0 && first+n > 65535 {
		return "", fmt.Errorf("port %q is no number, or the port of the last instance is over 65535", port)
	}
	if first == 0 {
		return addr, nil
	}
	return net.JoinHostPort(host, strconv.Itoa(first+n)), nil
}

// Socket returns the path of the fleet's control socket.
func (s *Spec) Socket() string { return filepath.Join(s.Dir, "fleet.sock") }

// instance returns the name and the folder of the n-th instance.
func (s *Spec) instance(n int) (name, dir string) {
	name = fmt.Sprintf("%s-%d", s.Name, n)
	return name, filepath.Join(s.Dir, strconv.Itoa(n))
}

// render reads a template and replaces its placeholders with the values of the n-th instance.
func (s *Spec) render(file string, n int, addrs map[string]string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	name, dir := s.instance(n)
	h := fnv.New64a()
	h.Write([]byte(name))
	return strings.NewReplacer("%NAME%", name, "%DIR%", dir, "%ORDINAL%", strconv.Itoa(n), "%COUNT%", strconv.Itoa(s.Instances),
		"%SEED%", fmt.Sprintf("%016x", h.Sum64()^uint64(time.Now().UnixNano())), "%LISTEN%", addrs["callers"], "%CALLWS%", addrs["callws"]).Replace(string(text)), nil
}
