// Package host runs real processes of the program, each in a folder of its own, as the platform would.
package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Instance is one instance of the program under test, in a folder of its own: one process after another.
type Instance struct {
	Name, Dir, Program string
	Settings           string         // the operators' file
	Config             map[string]any // the platform's file, but for its list
	Env                []string       // beside what it needs

	mu    sync.Mutex
	cmd   *exec.Cmd
	cpu   time.Duration // of the processes that have ended
	log   bytes.Buffer
	line  []byte
	ready chan string // its address
	ended chan struct{}
}

// Start writes the configuration with the list as known now, starts the program and waits until it serves.
func (i *Instance) Start(ctx context.Context, known json.RawMessage) (addr string, err error) {
	i.Config["known"] = known
	text, err := json.Marshal(i.Config)
	if err != nil {
		return "", err
	}
	file, settings := filepath.Join(i.Dir, "config.json"), filepath.Join(i.Dir, "masthill.toml")
	if err := errors.Join(os.WriteFile(file, text, 0o600), os.WriteFile(settings, []byte(i.Settings), 0o600)); err != nil {
		return "", err
	}
	cmd := exec.Command(i.Program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+file, "MASTHILL_SETTINGS="+settings, "MASTHILL_CALLWS="+settings, "TMPDIR="+i.Dir)
	cmd.Env = append(cmd.Env, i.Env...)
	cmd.Dir = i.Dir
	cmd.Stderr = i
	ready, ended := make(chan string, 1), make(chan struct{})
	i.mu.Lock()
	i.ready = ready // its log comes with the start
	i.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return "", fmt.Errorf("%s does not start: %w", i.Name, err)
	}
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended // only a process that is there can be stopped
	i.mu.Unlock()
	go func() {
		cmd.Wait()
		i.mu.Lock()
		i.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		i.mu.Unlock()
		close(ended)
	}()
	select {
	case addr = <-ready:
		return addr, nil
	case <-ended:
		return "", fmt.Errorf("%s ended at its start: %s", i.Name, i.LogTail())
	case <-time.After(10 * time.Second):
		return "", fmt.Errorf("%s does not serve", i.Name)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Signal sends the process a signal; without one it does nothing.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.cmd.Process.Signal(s)
	}
}

// PID is that of the process that was started last; 0: none was.
func (i *Instance) PID() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// CPU is the processor time of the processes that have ended.
func (i *Instance) CPU() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cpu
}

// Log is what the processes have logged, as far as it is kept.
func (i *Instance) Log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// logMost bounds what is kept of an instance's log.
const logMost = 1 << 20

// Write takes the program's log, and from it the address where it listens.
func (i *Instance) Write(b []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < logMost {
		i.log.Write(b)
	}
	i.line = append(i.line, b...)
	for {
		line, rest, ok := bytes.Cut(i.line, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		i.line = rest
		if _, addr, ok := strings.Cut(string(line), "listen="); ok && bytes.Contains(line, []byte("msg=serving ")) {
			addr, _, _ = strings.Cut(addr, " ")
			select {
			case i.ready <- addr:
			default:
			}
		}
	}
}

// Tail is the end of the log.
func (i *Instance) LogTail() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	text := i.log.String()
	return text[max(0, len(text)-2000):]
}

// Stop ends the program as the platform does; kill is the harder way. Both wait for its end.
func (i *Instance) Stop(kill bool) error {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if kill {
		cmd.Process.Kill()
	} else {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		cmd.Process.Kill()
		<-ended
		return fmt.Errorf("%s did not end on SIGTERM", i.Name)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 && !kill {
		return fmt.Errorf("%s ended with %d: %s", i.Name, code, i.LogTail())
	}
	return nil
}

// Site is what the instances of a run have in common.
type Site struct {
	Instances, Servers int
	Planned            float64 // calls a second, all instances together
}

// Platform is the platform's part for instance number k, but for its list.
func PlatformConfig(name string, k int, o Site, journal string, seed uint64) map[string]any {
	ns := func(d time.Duration) int64 { return int64(d) }
	cells := make([]int, o.Servers)
	for c := range cells {
		cells[c] = c
	}
	tenants := []any{}
	for _, t := range []struct {
		name     string
		fraction float64
	}{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}} {
		tenants = append(tenants, map[string]any{"name": t.name, "fraction": t.fraction, "quota_per_s": o.Planned * t.fraction})
	}
	return map[string]any{"name": name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%016x", seed), "journal": journal,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"group_size": o.Instances, "ordinal": k, "discovery": "pushed",
			"extra": map[string]any{"class_cells": [][]int{cells}, "clear_wait_ns": ns(300 * time.Millisecond), "this_node": -1,
				"topology": "groups", "says_wait": true, "peer_load": "answers"},
			"grades": []any{map[string]any{"name": "open-log", "aim_ns": ns(1200 * time.Millisecond), "deadline_ns": ns(9 * time.Second),
				"effect": "free", "late_value": 0.25, "worth": 1.0, "stream": true}},
			"limits": map[string]any{"max_attempts": 4, "may_cancel": true, "retry_after": true, "max_retry_after_ns": ns(2 * time.Second),
				"connect_timeout_ns": ns(500 * time.Millisecond)},
			"tenants": tenants, "feedback": map[string]any{"fields": []string{"spare", "total", "cpu", "waiting"}, "source": "answers"},
			"resolution_ns": ns(5 * time.Millisecond),
			"rules": map[string]any{"cold_from": 0.31, "cold_ns": ns(15 * time.Second), "drain_grace_ns": ns(time.Second),
				"fall_multiple": 2.0, "fall_ns": ns(time.Second)}}}
}
