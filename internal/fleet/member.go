package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/renameio/v2"

	"masthill/control/rollout"
	"masthill/internal/ctl"
)

const (
	// minRestartWait and maxRestartWait limit the wait before an instance that ended unexpectedly is restarted.
	minRestartWait, maxRestartWait = 200 * time.Millisecond, 15 * time.Second
	// maxLogBytes limits an instance's log; a longer one is moved to one older file.
	maxLogBytes = 16 << 20
	// checkTimeout limits the check of an instance's files by its program.
	checkTimeout = 5 * time.Second
	// callersSocket and callWSSocket name an instance's listening sockets.
	callersSocket, callWSSocket = "callers", "callws"
)

// member is the supervisor's state of one instance. Only the supervisor's loop uses it.
type member struct {
	supervisor      *Supervisor
	index           int
	name, dir       string
	generation      string // that its process runs, or will be started with
	phase           rollout.Phase
	phaseSince      time.Time
	listeners       map[string]*os.File // kept open across restarts of the process
	addrs           map[string]string
	pid             int
	isChild         bool // started by this supervisor; false: adopted
	stopping        bool // it was asked to end
	signaledAt      time.Time
	startedAt       time.Time
	startReason     string // reason of the next start
	crashes         int    // in this generation
	earlyExits      int    // consecutive exits soon after the start
	retryAt         time.Time
	restartBackoff  *backoff.ExponentialBackOff
	failure         string // why it is not restarted
	status          *ctl.Status
	statusRequested bool // a status request is in progress
	unexpectedExits int  // in total
}

func newMember(s *Supervisor, n int) *member {
	name, dir := s.spec.instance(n)
	m := &member{supervisor: s, index: n, name: name, dir: dir, phase: rollout.Down, phaseSince: time.Now(), listeners: map[string]*os.File{},
		addrs: s.addresses(name), startReason: "first", restartBackoff: backoff.NewExponentialBackOff()}
	m.restartBackoff.InitialInterval, m.restartBackoff.MaxInterval, m.restartBackoff.Multiplier = minRestartWait, maxRestartWait, 2
	return m
}

// setPhase enters a phase, unless the instance is in it already.
func (m *member) setPhase(p rollout.Phase) {
	if m.phase != p {
		m.phase, m.phaseSince = p, time.Now()
	}
}

func (m *member) socket() string { return filepath.Join(m.dir, "ctl") }

// adopt takes over a running instance that an earlier supervisor started. It returns false if none runs.
func (m *member) adopt(ctx context.Context) bool {
	record, isRunning := findProcess(m.dir)
	if !isRunning {
		return false
	}
	m.isChild, m.startedAt = false, time.Now()
	m.setPhase(rollout.Starting)
	m.setProcess(record)
	m.closeListeners() // opened for a process that could not claim the folder
	files, err := ctl.FetchListeners(ctx, m.socket())
	if err != nil { // its sockets close when it ends; the next process gets new ones at the same addresses
		m.supervisor.log.Warn("listening sockets not taken over", "instance", m.name, "err", err)
	}
	m.keepListeners(files)
	m.supervisor.log.Info("instance taken over", "instance", m.name, "pid", m.pid, "generation", m.generation, "sockets", len(files))
	return true
}

// setProcess applies the record of the instance's process, if that has written one.
func (m *member) setProcess(record processRecord) {
	if record.PID > 0 {
		m.pid, m.generation = record.PID, record.Generation
	}
}

// closeListeners closes the listening sockets that are kept for the instance.
func (m *member) closeListeners() {
	for name, f := range m.listeners {
		f.Close()
		delete(m.listeners, name)
	}
}

// keepListeners keeps copies of the instance's listening sockets for its next processes.
func (m *member) keepListeners(files map[string]*os.File) {
	for name, f := range files {
		if m.listeners[name] != nil {
			f.Close()
			continue
		}
		m.listeners[name] = f
		if l, err := net.FileListener(f); err == nil {
			m.addrs[name] = l.Addr().String()
			l.Close()
		}
	}
}

// openListeners opens the listening sockets that are not open yet.
func (m *member) openListeners() error {
	for name, base := range map[string]string{callersSocket: m.supervisor.spec.Listen, callWSSocket: m.supervisor.spec.CallWS} {
		if base == "" || m.listeners[name] != nil {
			continue
		}
		addr, err := m.listenAddr(name, base)
		if err != nil {
			return err
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		f, err := l.(*net.TCPListener).File()
		m.addrs[name] = l.Addr().String()
		l.Close() // the copy stays open
		if err != nil {
			return err
		}
		m.listeners[name] = f
	}
	return nil
}

// listenAddr returns the address for a listening socket of the instance. A port that the system once chose for it is kept
// across restarts of processes and of supervisors, as clients have that address.
func (m *member) listenAddr(name, base string) (string, error) {
	wanted, err := instanceAddr(base, m.index)
	if err != nil {
		return "", err
	}
	host, port, err := net.SplitHostPort(wanted)
	if err != nil || port != "0" {
		return wanted, err
	}
	if chosenHost, _, err := net.SplitHostPort(m.addrs[name]); err == nil && chosenHost == host {
		return m.addrs[name], nil
	}
	return wanted, nil
}

// writeFiles writes the instance's files from the templates.
func (m *member) writeFiles() error {
	if err := os.MkdirAll(filepath.Join(m.dir, "tmp"), 0o700); err != nil {
		return err
	}
	for file, template := range map[string]string{"config.json": m.supervisor.spec.Platform, "masthill.toml": m.supervisor.spec.Settings} {
		text := ""
		if template != "" {
			var err error
			if text, err = m.supervisor.spec.render(template, m.index, m.addrs); err != nil {
				return err
			}
		}
		if err := replaceFile(filepath.Join(m.dir, file), []byte(text)); err != nil {
			return err
		}
	}
	return nil
}

// environment returns the environment of an instance's program, without variables meant for another instance or set by a
// service manager.
func (m *member) environment(extra ...string) []string {
	var env []string
	for _, e := range os.Environ() {
		name, _, _ := strings.Cut(e, "=")
		if strings.HasPrefix(name, "PROXY_") || strings.HasPrefix(name, "LISTEN_") || strings.HasPrefix(name, "WATCHDOG_") ||
			name == "NOTIFY_SOCKET" || name == "MASTHILL_SETTINGS" || name == "MASTHILL_CALLWS" || name == "MASTHILL_SOCKET" || name == "TMPDIR" {
			continue
		}
		env = append(env, e)
	}
	return append(append(env, "PROXY_CONFIG="+filepath.Join(m.dir, "config.json"), "MASTHILL_SETTINGS="+filepath.Join(m.dir, "masthill.toml"),
		"MASTHILL_SOCKET="+m.socket(), "TMPDIR="+filepath.Join(m.dir, "tmp")), extra...)
}

// checkFiles runs a program's check of the instance's files, before any instance is replaced.
func (m *member) checkFiles(ctx context.Context, program string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, "check")
	cmd.Env = m.environment()
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", m.name, err, strings.TrimSpace(string(out[:min(len(out), 4096)])))
	}
	return nil
}

// start starts the instance's process with the program of its generation.
func (m *member) start() error {
	if err := m.openListeners(); err != nil {
		return err
	}
	if err := m.writeFiles(); err != nil {
		return err
	}
	program := m.supervisor.state.Programs[m.generation]
	if program == "" {
		return fmt.Errorf("generation %q has no program", m.generation)
	}
	log, err := m.openLog()
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.supervisor.LauncherProgram, "launch", "--dir", m.dir, "--generation", m.generation, program)
	cmd.Dir, cmd.Stderr, cmd.Stdout = m.dir, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt from the terminal must reach only the supervisor
	var names []string
	for name, f := range m.listeners {
		names = append(names, name)
		cmd.ExtraFiles = append(cmd.ExtraFiles, f)
	}
	cmd.Env = m.environment("MASTHILL_START="+m.startReason, fmt.Sprintf("LISTEN_FDS=%d", len(names)), "LISTEN_FDNAMES="+strings.Join(names, ":"))
	if err := cmd.Start(); err != nil {
		return err
	}
	m.pid, m.isChild, m.stopping, m.startedAt, m.status = cmd.Process.Pid, true, false, time.Now(), nil
	m.setPhase(rollout.Starting)
	m.supervisor.log.Info("instance started", "instance", m.name, "pid", m.pid, "generation", m.generation, "why", m.startReason)
	m.supervisor.group.Go(func() error {
		err := cmd.Wait()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			code = -1
		}
		m.supervisor.post(func() { m.onExit(code) })
		return nil
	})
	return nil
}

// openLog opens the instance's log. A log that is too long is renamed first.
func (m *member) openLog() (*os.File, error) {
	path := filepath.Join(m.dir, "log")
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		os.Rename(path, path+".1")
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// trimLog limits the log of a running process: a log that is too long is copied to the older file and truncated. The
// process opened it for appending, so its next line goes to the new start.
func (m *member) trimLog() {
	path := filepath.Join(m.dir, "log")
	info, err := os.Stat(path)
	if err != nil || info.Size() <= maxLogBytes {
		return
	}
	from, err := os.Open(path)
	if err != nil {
		return
	}
	defer from.Close()
	if to, err := os.OpenFile(path+".1", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600); err == nil {
		io.Copy(to, io.LimitReader(from, 2*maxLogBytes))
		to.Close()
		os.Truncate(path, 0)
	}
}

// stop sends the instance's process SIGTERM; killOverdue kills it after the timeout.
func (m *member) stop() {
	if m.pid <= 0 || m.stopping {
		return
	}
	m.stopping, m.signaledAt = true, time.Now()
	m.setPhase(rollout.Draining)
	syscall.Kill(m.pid, syscall.SIGTERM)
}

// killOverdue sends SIGKILL to a process that has not ended within the timeout after SIGTERM.
func (m *member) killOverdue() {
	if m.stopping && m.pid > 0 && time.Since(m.signaledAt) > m.supervisor.spec.Rollout.StopWithin {
		m.supervisor.log.Warn("instance killed", "instance", m.name, "pid", m.pid, "why", "it did not end in time")
		syscall.Kill(m.pid, syscall.SIGKILL)
		m.signaledAt = time.Now()
	}
}

// onExit handles the end of the instance's process and decides whether and when it is restarted.
func (m *member) onExit(code int) {
	uptime := time.Since(m.startedAt)
	m.pid, m.status = 0, nil
	m.setPhase(rollout.Down)
	if m.stopping {
		m.stopping, m.retryAt = false, time.Time{}
		return
	}
	if code == ExitClaimed {
		if _, isRunning := findProcess(m.dir); isRunning { // launched by an earlier supervisor; startIfDown adopts it
			m.supervisor.log.Info("instance runs already", "instance", m.name)
			return
		}
	}
	m.unexpectedExits++
	m.crashes++
	action, earlyExits := rollout.DecideRestart(rollout.Exit{Code: code, Uptime: int64(uptime)}, m.earlyExits)
	if m.earlyExits = earlyExits; earlyExits == 0 {
		m.restartBackoff.Reset()
	}
	switch action {
	case rollout.BadConfig:
		m.failure = "bad configuration: its log names the fault; correct it and reload"
	case rollout.CrashLoop:
		m.failure = fmt.Sprintf("crash loop: %d consecutive exits soon after the start", earlyExits)
	default:
		m.startReason = "crash"
		m.retryAt = time.Now().Add(m.restartBackoff.NextBackOff())
	}
	if m.failure != "" {
		m.setPhase(rollout.Failed)
	}
	m.supervisor.log.Error("instance ended unasked", "instance", m.name, "code", code, "lived_ms", uptime.Milliseconds(), "failed", m.failure,
		"again_in_ms", max(time.Until(m.retryAt).Milliseconds(), 0))
}

// poll checks the instance's process and requests its status.
func (m *member) poll() {
	if !m.isChild {
		if record, isRunning := findProcess(m.dir); isRunning {
			m.setProcess(record)
		} else if m.pid > 0 || m.phase == rollout.Starting { // the latter: it ended before it had written its PID
			m.onExit(-1) // it is not a child of this process, so its exit code is unknown
		}
	}
	m.killOverdue()
	if m.pid <= 0 || m.statusRequested {
		return
	}
	m.statusRequested = true
	pid, noListeners := m.pid, len(m.listeners) == 0
	m.supervisor.group.Go(func() error {
		st, err := ctl.FetchStatus(m.supervisor.ctx, m.socket())
		var files map[string]*os.File
		if err == nil && noListeners { // it was adopted before its control socket answered
			files, _ = ctl.FetchListeners(m.supervisor.ctx, m.socket())
		}
		m.supervisor.post(func() {
			m.statusRequested = false
			m.keepListeners(files)
			if err != nil || m.pid != pid || st.PID != pid {
				return
			}
			m.status = st
			if !m.stopping {
				m.setPhase(map[ctl.Phase]rollout.Phase{ctl.Starting: rollout.Starting, ctl.Recovering: rollout.Recovering,
					ctl.Serving: rollout.Serving, ctl.Draining: rollout.Draining}[st.Phase])
			}
		})
		return nil
	})
}

// replaceFile writes a file atomically, by renaming a temporary file.
func replaceFile(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}
