// Package host runs real processes of the program as the platform would, each instance in a folder of its own.
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

// Instance is one instance of the program under test. It runs one process at a time, and may be restarted.
type Instance struct {
	Name, Dir, Program string
	Settings           string         // text of the operators' settings file
	Config             map[string]any // the platform's configuration, without the list of servers
	Env                []string       // additional environment variables

	mu          sync.Mutex
	cmd         *exec.Cmd
	cpu         time.Duration // processor time of the processes that have ended
	log         bytes.Buffer
	partialLine []byte        // start of a log line whose end has not been written yet
	ready       chan string   // receives the address where the process listens
	ended       chan struct{} // closed when the current process has ended
}

// Start writes the configuration with the known list of servers, starts the program, waits until it serves, and returns the
// address where it listens.
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
	i.ready = ready // set before the start, as the log can arrive at once
	i.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return "", fmt.Errorf("%s does not start: %w", i.Name, err)
	}
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended // set after the start, so that Stop and Signal only see a process that exists
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
		return "", fmt.Errorf("%s does not serve after 10 s", i.Name)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Signal sends a signal to the process, if one was started.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.cmd.Process.Signal(s)
	}
}

// PID is the ID of the process that was started last; 0: none was.
func (i *Instance) PID() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return 0
	}
	return i.cmd.Process.Pid
}

// CPU is the total processor time of the processes that have ended.
func (i *Instance) CPU() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cpu
}

// Log is the log of all processes, as far as it is kept.
func (i *Instance) Log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// maxLogSize is the size from which on an instance's log is no longer kept.
const maxLogSize = 1 << 20

// Write implements io.Writer for the program's log. It takes the address where the program listens from the log.
func (i *Instance) Write(b []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < maxLogSize {
		i.log.Write(b)
	}
	i.partialLine = append(i.partialLine, b...)
	for {
		line, rest, ok := bytes.Cut(i.partialLine, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		i.partialLine = rest
		if _, addr, ok := strings.Cut(string(line), "listen="); ok && bytes.Contains(line, []byte("msg=serving ")) {
			addr, _, _ = strings.Cut(addr, " ")
			select {
			case i.ready <- addr:
			default:
			}
		}
	}
}

// LogTail is the last 2000 bytes of the log.
func (i *Instance) LogTail() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	text := i.log.String()
	return text[max(0, len(text)-2000):]
}

// Stop ends the process with SIGTERM, as the platform does, or with SIGKILL if kill, and waits for its end. A process that
// takes more than 8 s is killed.
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
		return fmt.Errorf("%s did not end within 8 s of SIGTERM", i.Name)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 && !kill {
		return fmt.Errorf("%s ended with exit code %d: %s", i.Name, code, i.LogTail())
	}
	return nil
}

// Site is the size and planned load of a run, the same for all instances.
type Site struct {
	Instances, Servers int
	Planned            float64 // calls per second, all instances together
}

// PlatformConfig makes the platform's configuration for the instance with this ordinal, without the list of servers.
func PlatformConfig(name string, ordinal int, site Site, journal string, seed uint64) map[string]any {
	nanoseconds := func(d time.Duration) int64 { return int64(d) }
	cells := make([]int, site.Servers)
	for c := range cells {
		cells[c] = c
	}
	tenants := []any{}
	for _, t := range []struct {
		name     string
		fraction float64
	}{{"slaney-vines", 0.55}, {"barrow-estate", 0.33}, {"suir-growers", 0.12}} {
		tenants = append(tenants, map[string]any{"name": t.name, "fraction": t.fraction, "quota_per_s": site.Planned * t.fraction})
	}
	return map[string]any{"name": name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%016x", seed), "journal": journal,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"group_size": site.Instances, "ordinal": ordinal, "discovery": "pushed",
			"extra": map[string]any{"class_cells": [][]int{cells}, "clear_wait_ns": nanoseconds(300 * time.Millisecond), "this_node": -1,
				"topology": "groups", "says_wait": true, "peer_load": "answers"},
			"grades": []any{map[string]any{"name": "open-log", "aim_ns": nanoseconds(1200 * time.Millisecond), "deadline_ns": nanoseconds(9 * time.Second),
				"effect": "free", "late_value": 0.25, "worth": 1.0, "stream": true}},
			"limits": map[string]any{"max_attempts": 4, "may_cancel": true, "retry_after": true, "max_retry_after_ns": nanoseconds(2 * time.Second),
				"connect_timeout_ns": nanoseconds(500 * time.Millisecond)},
			"tenants": tenants, "feedback": map[string]any{"fields": []string{"spare", "total", "cpu", "waiting"}, "source": "answers"},
			"resolution_ns": nanoseconds(5 * time.Millisecond),
			"rules": map[string]any{"cold_from": 0.31, "cold_ns": nanoseconds(15 * time.Second), "drain_grace_ns": nanoseconds(time.Second),
				"fall_multiple": 2.0, "fall_ns": nanoseconds(time.Second)}}}
}
