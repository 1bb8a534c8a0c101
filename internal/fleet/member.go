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
	// backoffFirst and backoffMost bound the wait before an instance that ended unasked is started again.
	minRestartWait, maxRestartWait = 200 * time.Millisecond, 15 * time.Second
	// logMost bounds an instance's log; what is over goes to one older file.
	maxLogBytes = 16 << 20
	// checkFor bounds the check of an instance's files by its program.
	checkTimeout = 5 * time.Second
	// callersSocket and callWSSocket name an instance's listening sockets.
	callersSocket, callWSSocket = "callers", "callws"
)

// member is one instance as the supervisor's loop sees it. All of it belongs to the loop.
type member struct {
	supervisor      *Supervisor
	index           int
	name, dir       string
	generation      string // its process runs, or is to be started as
	phase           rollout.Phase
	phaseSince      time.Time
	listeners       map[string]*os.File // held here over the ends of processes
	addrs           map[string]string
	pid             int
	isChild         bool // started by this process; else taken over
	stopping        bool // its end was asked for
	signaledAt      time.Time
	startedAt       time.Time
	startReason     string // of the next start
	crashes         int    // of this generation
	earlyExits      int    // ends in a row soon after the start
	retryAt         time.Time
	restartBackoff  *backoff.ExponentialBackOff
	failure         string // why it is not started again
	status          *ctl.Status
	statusRequested bool // for its status
	unexpectedExits int  // unasked, in all
}

func newMember(s *Supervisor, n int) *member {
	name, dir := s.spec.instance(n)
	m := &member{supervisor: s, index: n, name: name, dir: dir, phase: rollout.Down, phaseSince: time.Now(), listeners: map[string]*os.File{},
		addrs: s.addresses(name), startReason: "first", restartBackoff: backoff.NewExponentialBackOff()}
	m.restartBackoff.InitialInterval, m.restartBackoff.MaxInterval, m.restartBackoff.Multiplier = minRestartWait, maxRestartWait, 2
	return m
}

func (m *member) setPhase(p rollout.Phase) {
	if m.phase != p {
		m.phase, m.phaseSince = p, time.Now()
	}
}

func (m *member) socket() string { return filepath.Join(m.dir, "ctl") }

// adopt takes over an instance that a supervisor before this one has started.
func (m *member) adopt(ctx context.Context) bool {
	c, is := findProcess(m.dir)
	if !is {
		return false
	}
	m.isChild, m.startedAt = false, time.Now()
	m.setPhase(rollout.Starting)
	m.setProcess(c)
	m.closeListeners() // opened for a process that lost the folder to this one
	files, err := ctl.FetchListeners(ctx, m.socket())
	if err != nil { // its sockets end with it; the next process opens new ones, at the same addresses
		m.supervisor.log.Warn("listening sockets not taken over", "instance", m.name, "err", err)
	}
	m.keepListeners(files)
	m.supervisor.log.Info("instance taken over", "instance", m.name, "pid", m.pid, "generation", m.generation, "sockets", len(files))
	return true
}

// noted takes up what the instance's process has noted of itself, if it has yet.
func (m *member) setProcess(c processRecord) {
	if c.PID > 0 {
		m.pid, m.generation = c.PID, c.Generation
	}
}

// closeListeners lets go of the listening sockets that are held for the instance.
func (m *member) closeListeners() {
	for name, f := range m.listeners {
		f.Close()
		delete(m.listeners, name)
	}
}

// hold keeps copies of the instance's listening sockets for the processes that follow.
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

// open opens the listening sockets that are not held yet.
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
		l.Close() // the copy stays
		if err != nil {
			return err
		}
		m.listeners[name] = f
	}
	return nil
}

// address is where a listening socket of the instance is to be: a port that was chosen for it once stays its own, over
// the ends of processes and of supervisors, as clients know it by that.
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

// files writes the instance's files from the templates.
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

// environment is what an instance's program gets: nothing of another instance's, or of a service manager's.
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

// check has a program read the instance's files, before anything is replaced.
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

// start starts the instance's process as its generation's program.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's interrupt is the supervisor's alone
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

// log opens the instance's log, and moves it aside once it is too long.
func (m *member) openLog() (*os.File, error) {
	path := filepath.Join(m.dir, "log")
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		os.Rename(path, path+".1")
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// trim bounds the log of a process that runs long: the newest part goes to the older file, and the log begins anew. The
// process appends, so that its next line stands at the new beginning.
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

// stop asks the instance's process to end; kick kills it once it has had its time.
func (m *member) stop() {
	if m.pid <= 0 || m.stopping {
		return
	}
	m.stopping, m.signaledAt = true, time.Now()
	m.setPhase(rollout.Draining)
	syscall.Kill(m.pid, syscall.SIGTERM)
}

func (m *member) killOverdue() {
	if m.stopping && m.pid > 0 && time.Since(m.signaledAt) > m.supervisor.spec.Rollout.StopWithin {
		m.supervisor.log.Warn("instance killed", "instance", m.name, "pid", m.pid, "why", "it did not end in time")
		syscall.Kill(m.pid, syscall.SIGKILL)
		m.signaledAt = time.Now()
	}
}

// ended takes the end of the instance's process.
func (m *member) onExit(code int) {
	uptime := time.Since(m.startedAt)
	m.pid, m.status = 0, nil
	m.setPhase(rollout.Down)
	if m.stopping {
		m.stopping, m.retryAt = false, time.Time{}
		return
	}
	if code == ExitClaimed {
		if _, is := findProcess(m.dir); is { // a supervisor before this one had launched it already; keep takes it over
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
		m.failure = "bad configuration: its log names the fault; mend it and reload"
	case rollout.CrashLoop:
		m.failure = fmt.Sprintf("crash loop: %d ends in a row soon after the start", earlyExits)
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

// look follows what the instance's process is at.
func (m *member) poll() {
	if !m.isChild {
		if c, is := findProcess(m.dir); is {
			m.setProcess(c)
		} else if m.pid > 0 || m.phase == rollout.Starting { // the latter: it ended before it had noted its pid
			m.onExit(-1) // another's child: how it ended nobody tells
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
		if err == nil && noListeners { // taken over before it answered on its socket
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

// replace puts a file in its place at once.
func replaceFile(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}
