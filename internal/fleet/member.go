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
	backoffFirst, backoffMost = 200 * time.Millisecond, 15 * time.Second
	// logMost bounds an instance's log; what is over goes to one older file.
	logMost = 16 << 20
	// checkFor bounds the check of an instance's files by its program.
	checkFor = 5 * time.Second
	// callersSocket and callWSSocket name an instance's listening sockets.
	callersSocket, callWSSocket = "callers", "callws"
)

// member is one instance as the supervisor's loop sees it. All of it belongs to the loop.
type member struct {
	s         *Supervisor
	n         int
	name, dir string
	gen       string // its process runs, or is to be started as
	phase     rollout.Phase
	since     time.Time
	listeners map[string]*os.File // held here over the ends of processes
	addrs     map[string]string
	pid       int
	child     bool // started by this process; else taken over
	asked     bool // its end was asked for
	termAt    time.Time
	started   time.Time
	why       string // of the next start
	crashes   int    // of this generation
	young     int    // ends in a row soon after the start
	retryAt   time.Time
	wait      *backoff.ExponentialBackOff
	failed    string // why it is not started again
	status    *ctl.Status
	asking    bool // for its status
	ends      int  // unasked, in all
}

func newMember(s *Supervisor, n int) *member {
	name, dir := s.spec.instance(n)
	m := &member{s: s, n: n, name: name, dir: dir, phase: rollout.Down, since: time.Now(), listeners: map[string]*os.File{},
		addrs: s.addresses(name), why: "first", wait: backoff.NewExponentialBackOff()}
	m.wait.InitialInterval, m.wait.MaxInterval, m.wait.Multiplier = backoffFirst, backoffMost, 2
	return m
}

func (m *member) enter(p rollout.Phase) {
	if m.phase != p {
		m.phase, m.since = p, time.Now()
	}
}

func (m *member) socket() string { return filepath.Join(m.dir, "ctl") }

// adopt takes over an instance that a supervisor before this one has started.
func (m *member) adopt(ctx context.Context) bool {
	c, is := running(m.dir)
	if !is {
		return false
	}
	m.child, m.started = false, time.Now()
	m.enter(rollout.Starting)
	m.noted(c)
	m.closeListeners() // opened for a process that lost the folder to this one
	files, err := ctl.FetchListeners(ctx, m.socket())
	if err != nil { // its sockets end with it; the next process opens new ones, at the same addresses
		m.s.log.Warn("listening sockets not taken over", "instance", m.name, "err", err)
	}
	m.hold(files)
	m.s.log.Info("instance taken over", "instance", m.name, "pid", m.pid, "generation", m.gen, "sockets", len(files))
	return true
}

// noted takes up what the instance's process has noted of itself, if it has yet.
func (m *member) noted(c claimed) {
	if c.PID > 0 {
		m.pid, m.gen = c.PID, c.Generation
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
func (m *member) hold(files map[string]*os.File) {
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
func (m *member) open() error {
	for name, base := range map[string]string{callersSocket: m.s.spec.Listen, callWSSocket: m.s.spec.CallWS} {
		if base == "" || m.listeners[name] != nil {
			continue
		}
		addr, err := m.address(name, base)
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
func (m *member) address(name, base string) (string, error) {
	wanted, err := nth(base, m.n)
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
func (m *member) files() error {
	if err := os.MkdirAll(filepath.Join(m.dir, "tmp"), 0o700); err != nil {
		return err
	}
	for file, template := range map[string]string{"config.json": m.s.spec.Platform, "masthill.toml": m.s.spec.Settings} {
		text := ""
		if template != "" {
			var err error
			if text, err = m.s.spec.render(template, m.n, m.addrs); err != nil {
				return err
			}
		}
		if err := replace(filepath.Join(m.dir, file), []byte(text)); err != nil {
			return err
		}
	}
	return nil
}

// environment is what an instance's program gets: nothing of another instance's, or of a service manager's.
func (m *member) environment(more ...string) []string {
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
		"MASTHILL_SOCKET="+m.socket(), "TMPDIR="+filepath.Join(m.dir, "tmp")), more...)
}

// check has a program read the instance's files, before anything is replaced.
func (m *member) check(ctx context.Context, program string) error {
	ctx, cancel := context.WithTimeout(ctx, checkFor)
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
	if err := m.open(); err != nil {
		return err
	}
	if err := m.files(); err != nil {
		return err
	}
	program := m.s.state.Programs[m.gen]
	if program == "" {
		return fmt.Errorf("generation %q has no program", m.gen)
	}
	log, err := m.log()
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.s.LauncherProgram, "launch", "--dir", m.dir, "--generation", m.gen, program)
	cmd.Dir, cmd.Stderr, cmd.Stdout = m.dir, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's interrupt is the supervisor's alone
	var names []string
	for name, f := range m.listeners {
		names = append(names, name)
		cmd.ExtraFiles = append(cmd.ExtraFiles, f)
	}
	cmd.Env = m.environment("MASTHILL_START="+m.why, fmt.Sprintf("LISTEN_FDS=%d", len(names)), "LISTEN_FDNAMES="+strings.Join(names, ":"))
	if err := cmd.Start(); err != nil {
		return err
	}
	m.pid, m.child, m.asked, m.started, m.status = cmd.Process.Pid, true, false, time.Now(), nil
	m.enter(rollout.Starting)
	m.s.log.Info("instance started", "instance", m.name, "pid", m.pid, "generation", m.gen, "why", m.why)
	m.s.group.Go(func() error {
		err := cmd.Wait()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			code = -1
		}
		m.s.post(func() { m.ended(code) })
		return nil
	})
	return nil
}

// log opens the instance's log, and moves it aside once it is too long.
func (m *member) log() (*os.File, error) {
	path := filepath.Join(m.dir, "log")
	if info, err := os.Stat(path); err == nil && info.Size() > logMost {
		os.Rename(path, path+".1")
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// trim bounds the log of a process that runs long: the newest part goes to the older file, and the log begins anew. The
// process appends, so that its next line stands at the new beginning.
func (m *member) trim() {
	path := filepath.Join(m.dir, "log")
	info, err := os.Stat(path)
	if err != nil || info.Size() <= logMost {
		return
	}
	from, err := os.Open(path)
	if err != nil {
		return
	}
	defer from.Close()
	if to, err := os.OpenFile(path+".1", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600); err == nil {
		io.Copy(to, io.LimitReader(from, 2*logMost))
		to.Close()
		os.Truncate(path, 0)
	}
}

// stop asks the instance's process to end; kick kills it once it has had its time.
func (m *member) stop() {
	if m.pid <= 0 || m.asked {
		return
	}
	m.asked, m.termAt = true, time.Now()
	m.enter(rollout.Draining)
	syscall.Kill(m.pid, syscall.SIGTERM)
}

func (m *member) kick() {
	if m.asked && m.pid > 0 && time.Since(m.termAt) > m.s.spec.Rollout.StopWithin {
		m.s.log.Warn("instance killed", "instance", m.name, "pid", m.pid, "why", "it did not end in time")
		syscall.Kill(m.pid, syscall.SIGKILL)
		m.termAt = time.Now()
	}
}

// ended takes the end of the instance's process.
func (m *member) ended(code int) {
	lived := time.Since(m.started)
	m.pid, m.status = 0, nil
	m.enter(rollout.Down)
	if m.asked {
		m.asked, m.retryAt = false, time.Time{}
		return
	}
	if code == ExitClaimed {
		if _, is := running(m.dir); is { // a supervisor before this one had launched it already; keep takes it over
			m.s.log.Info("instance runs already", "instance", m.name)
			return
		}
	}
	m.ends++
	m.crashes++
	verdict, young := rollout.DecideRestart(rollout.Exit{Code: code, Uptime: int64(lived)}, m.young)
	if m.young = young; young == 0 {
		m.wait.Reset()
	}
	switch verdict {
	case rollout.BadConfig:
		m.failed = "bad configuration: its log names the fault; mend it and reload"
	case rollout.CrashLoop:
		m.failed = fmt.Sprintf("crash loop: %d ends in a row soon after the start", young)
	default:
		m.why = "crash"
		m.retryAt = time.Now().Add(m.wait.NextBackOff())
	}
	if m.failed != "" {
		m.enter(rollout.Failed)
	}
	m.s.log.Error("instance ended unasked", "instance", m.name, "code", code, "lived_ms", lived.Milliseconds(), "failed", m.failed,
		"again_in_ms", max(time.Until(m.retryAt).Milliseconds(), 0))
}

// look follows what the instance's process is at.
func (m *member) look() {
	if !m.child {
		if c, is := running(m.dir); is {
			m.noted(c)
		} else if m.pid > 0 || m.phase == rollout.Starting { // the latter: it ended before it had noted its pid
			m.ended(-1) // another's child: how it ended nobody tells
		}
	}
	m.kick()
	if m.pid <= 0 || m.asking {
		return
	}
	m.asking = true
	pid, bare := m.pid, len(m.listeners) == 0
	m.s.group.Go(func() error {
		st, err := ctl.FetchStatus(m.s.ctx, m.socket())
		var files map[string]*os.File
		if err == nil && bare { // taken over before it answered on its socket
			files, _ = ctl.FetchListeners(m.s.ctx, m.socket())
		}
		m.s.post(func() {
			m.asking = false
			m.hold(files)
			if err != nil || m.pid != pid || st.PID != pid {
				return
			}
			m.status = st
			if !m.asked {
				m.enter(map[ctl.Phase]rollout.Phase{ctl.Starting: rollout.Starting, ctl.Recovering: rollout.Recovering,
					ctl.Serving: rollout.Serving, ctl.Draining: rollout.Draining}[st.Phase])
			}
		})
		return nil
	})
}

// replace puts a file in its place at once.
func replace(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}
