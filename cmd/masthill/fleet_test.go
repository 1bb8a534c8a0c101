package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"masthill/internal/ctl"
	"masthill/internal/fleet"
)

// fleetFixture is a fleet of instances of the program under test, in a temporary directory.
type fleetFixture struct {
	t    *testing.T
	file string
	spec *fleet.Spec
	*fleet.Client
	supervisor *exec.Cmd
}

func newFleet(t *testing.T, instances int) *fleetFixture {
	t.Helper()
	dir, err := os.MkdirTemp("", "fl") // short, as the length of a socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	ledger := newAttemptLog()
	offices := []string{sipOffice(t, newProcessor(ledger, "a")), sipOffice(t, newProcessor(ledger, "b"))}
	text := strings.NewReplacer(`"n0"`, `"%NAME%"`, "127.0.0.1:0", "%LISTEN%", "8c1f30d27a5be964", "%SEED%", `"cold_ns":15000000000`, `"cold_ns":400000000`,
		`"group_size":1`, `"group_size":%COUNT%,"ordinal":%ORDINAL%`).Replace(configuration(newJournal(t), offices))
	b := &fleetFixture{t: t, file: filepath.Join(dir, "fleet.toml")}
	for name, text := range map[string]string{"platform.json": text, "masthill.toml": "[recovery]\nenabled = true\n[levels]\nenabled = true\n[shares]\nenabled = true\n[state]\ndir = \"%DIR%\"\nevery = \"100ms\"\n",
		"fleet.toml": fmt.Sprintf("name = \"h\"\ndir = \"run\"\ninstances = %d\nlisten = \"127.0.0.1:0\"\nplatform = \"platform.json\"\n"+
			"settings = \"masthill.toml\"\n[rollout]\nmost_away = 0.5\nhealthy_for = \"200ms\"\nstart_within = \"10s\"\n", instances)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if b.spec, err = fleet.Load(b.file); err != nil {
		t.Fatal(err)
	}
	b.Client = fleet.Dial(b.spec)
	b.start()
	t.Cleanup(func() {
		if b.SendCommand(t.Context(), "down", ""); b.supervisor != nil {
			b.supervisor.Process.Signal(syscall.SIGTERM)
			b.supervisor.Wait()
		}
		if t.Failed() {
			for n := range instances {
				log, _ := os.ReadFile(filepath.Join(b.spec.Dir, fmt.Sprint(n), "log"))
				t.Logf("instance %d:\n%s", n, log)
			}
		}
		os.RemoveAll(dir)
	})
	return b
}

// masthill makes the command for one command line.
func (b *fleetFixture) masthill(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1")
	return cmd
}

func (b *fleetFixture) start() {
	b.t.Helper()
	b.supervisor = b.masthill("fleet", "up", b.file)
	b.supervisor.Stderr = os.Stderr
	if err := b.supervisor.Start(); err != nil {
		b.t.Fatal(err)
	}
}

// waitUntil waits for a status that meets the condition, for 30 s at most, which suffices on a slow machine.
func (b *fleetFixture) waitUntil(what string, is func(s *fleet.Status) bool) *fleet.Status {
	b.t.Helper()
	var s *fleet.Status
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var err error
		if s, err = b.Status(b.t.Context()); err == nil && is(s) {
			return s
		}
	}
	text, _ := json.MarshalIndent(s, "", " ")
	b.t.Fatalf("never %s: %s", what, text)
	return nil
}

func allServing(s *fleet.Status) bool {
	for _, m := range s.Instances {
		if m.Phase != "serving" {
			return false
		}
	}
	return len(s.Instances) > 0
}

// countProcesses counts the processes that run in the instances' directories, and fails the test if two share one.
func (b *fleetFixture) countProcesses() (n int) {
	b.t.Helper()
	dirs, _ := filepath.Glob("/proc/[0-9]*/environ")
	seen := map[string]int{}
	for _, f := range dirs {
		env, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		for _, e := range strings.Split(string(env), "\x00") {
			if dir, ok := strings.CutPrefix(e, "MASTHILL_SOCKET="+b.spec.Dir); ok {
				if stat, err := os.ReadFile(filepath.Join(filepath.Dir(f), "stat")); err == nil && !strings.Contains(string(stat), ") Z") {
					seen[dir]++
					n++
				}
			}
		}
	}
	for dir, k := range seen {
		if k > 1 {
			b.t.Errorf("%d processes in %s", k, dir)
		}
	}
	return n
}

// When a supervisor is killed in the middle of a rollout, no instance ends. The next supervisor takes over the running
// instances, with their listening sockets, and completes the rollout.
func TestASupervisorIsKilledMidRollout(t *testing.T) {
	b := newFleet(t, 4)
	first := b.waitUntil("up", allServing)
	ports := map[string]string{}
	for _, m := range first.Instances {
		ports[m.Name] = m.Listen
	}
	if out, err := b.masthill("fleet", "up", b.file).CombinedOutput(); err == nil || !strings.Contains(string(out), "supervisor already") {
		t.Errorf("a second supervisor: %s", out)
	}
	if err := b.SendCommand(t.Context(), "rollout", ""); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("half done", func(s *fleet.Status) bool { return s.Rollout != nil && s.Rollout.Remaining <= 2 })
	b.supervisor.Process.Kill()
	b.supervisor.Wait()
	if n := b.countProcesses(); n < 2 {
		t.Errorf("%d instances outlived their supervisor", n)
	}
	if _, err := b.Status(t.Context()); !errors.Is(err, ctl.ErrNotRunning) {
		t.Error(err)
	}
	b.start()
	s := b.waitUntil("finished", func(s *fleet.Status) bool { return s.Outcome != nil && allServing(s) })
	if s.Outcome.State != "done" || s.Generation != "2" {
		t.Errorf("%+v", s)
	}
	if n := b.countProcesses(); n != 4 {
		t.Errorf("%d instances of 4", n)
	}
	for _, m := range s.Instances {
		if m.Generation != "2" || m.Listen != ports[m.Name] {
			t.Errorf("%+v, listened at %s", m, ports[m.Name])
		}
		if c, err := net.Dial("tcp", m.Listen); err != nil {
			t.Error(err)
		} else {
			c.Close()
		}
	}
	text, _ := os.ReadFile(filepath.Join(b.spec.Dir, "0", "log"))
	if !strings.Contains(string(text), "start=restart snapshot=\"taken up") {
		t.Errorf("no snapshot was restored:\n%s", text)
	}
}

// A new version that fails halts the rollout at the first instance, and the rollout is rolled back. A version that
// cannot read the files replaces no instance.
func TestABadVersion(t *testing.T) {
	b := newFleet(t, 3)
	b.waitUntil("up", allServing)
	bad := filepath.Join(b.spec.Dir, "bad")
	if err := os.WriteFile(bad, []byte("#!/bin/sh\n[ \"$1\" = check ] && exit 0\nexit 7\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	out, err := b.masthill("fleet", "upgrade", b.file, bad).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitHalted || !strings.Contains(string(out), "turned-back") {
		t.Errorf("%v: %s", err, out)
	}
	s := b.waitUntil("back", allServing)
	ends := 0
	for _, m := range s.Instances {
		ends += m.UnexpectedExits
		if m.Generation != "1" {
			t.Errorf("%+v", m)
		}
	}
	if ends != 1 || b.countProcesses() != 3 {
		t.Errorf("%d instances of the bad version failed, want 1; %d run, want 3", ends, b.countProcesses())
	}
	blind := filepath.Join(b.spec.Dir, "blind")
	os.WriteFile(blind, []byte("#!/bin/sh\necho no such key\nexit 2\n"), 0o700)
	if err := b.SendCommand(t.Context(), "rollout", blind); err == nil || !strings.Contains(err.Error(), "no such key") {
		t.Error(err)
	}
	if s, _ := b.Status(t.Context()); s.Rollout != nil || s.Generation != "1" {
		t.Errorf("%+v", s)
	}
}

// An instance that is killed is restarted at the same address. Until then connections to it wait.
func TestAKilledInstanceComesBack(t *testing.T) {
	b := newFleet(t, 1)
	m := b.waitUntil("up", allServing).Instances[0]
	syscall.Kill(m.PID, syscall.SIGKILL)
	p := dial(t, m.Listen) // waits in the backlog of the listening socket, which the supervisor holds too
	p.write("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	p.expect(200, "")
	s := b.waitUntil("back", func(s *fleet.Status) bool { return allServing(s) && s.Instances[0].PID != m.PID })
	if s.Instances[0].UnexpectedExits != 1 || s.Instances[0].Listen != m.Listen {
		t.Errorf("%+v", s.Instances[0])
	}
	out, err := b.masthill("levels", "--fleet", b.file).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "h-0") || !strings.Contains(string(out), "no change") {
		t.Errorf("%v: %s", err, out)
	}
	st, err := ctl.FetchStatus(t.Context(), s.Instances[0].Socket)
	if err != nil || len(st.Core.Modules) != 3 || st.StartReason != "crash" || !strings.HasPrefix(st.Snapshot, "taken up") {
		t.Errorf("%+v, %v", st, err)
	}
}

// An instance with a bad configuration is not restarted in a loop; a reload with a corrected one starts it again.
func TestABadConfigurationIsNoCrashLoop(t *testing.T) {
	b := newFleet(t, 1)
	m := b.waitUntil("up", allServing).Instances[0]
	settings := filepath.Join(filepath.Dir(b.file), "masthill.toml")
	good, _ := os.ReadFile(settings)
	os.WriteFile(settings, []byte("[store]\ndriver = \"oracle\"\n"), 0o600)
	if err := b.SendCommand(t.Context(), "reload", ""); err == nil || !strings.Contains(err.Error(), "masthill.toml:2: store.driver") {
		t.Error(err)
	}
	if s, err := b.Status(t.Context()); err != nil || !allServing(s) || s.Instances[0].PID != m.PID {
		t.Error("a fault in the files affected a running instance", s, err)
	}
	syscall.Kill(m.PID, syscall.SIGKILL)
	s := b.waitUntil("given up", func(s *fleet.Status) bool { return s.Instances[0].Phase == "failed" })
	if !strings.Contains(s.Instances[0].Failed, "bad configuration") || s.Instances[0].UnexpectedExits != 2 {
		t.Errorf("%+v", s.Instances[0])
	}
	os.WriteFile(settings, good, 0o600)
	if err := b.SendCommand(t.Context(), "reload", ""); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("back", allServing)
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	os.WriteFile(good, []byte(configuration("127.0.0.1:1", nil)), 0o600)
	os.WriteFile(bad, []byte(strings.Replace(configuration("127.0.0.1:1", nil), `"sockets":1024`, `"sockets":1`, 1)), 0o600)
	settings := filepath.Join(dir, "m.toml")
	os.WriteFile(settings, []byte("[socket]\npath = \""+filepath.Join(dir, "ctl")+"\"\n"), 0o600)
	for _, tc := range []struct {
		env, args string
		code      int
		says      string
	}{
		{good, "check", exitOK, "no faults"},
		{bad, "check", exitUsage, "bad.json:1: limits.sockets: 1 is under"},
		{bad, "check --json", exitUsage, `"key":"limits.sockets"`},
		{bad, "", exitUsage, "limits.sockets"},
		{good, "check --schema", exitOK, `"most_age"`},
		{good, "status", exitNoAnswer, "no instance answers"},
		{good, "no-such", exitUsage, "unexpected argument"},
		{good, "help", exitOK, "fleet"},
		{good, "help status", exitOK, "--socket"},
		{good, "version", exitOK, ""},
		{good, "fleet status /nowhere.toml", exitUsage, "/nowhere.toml"},
	} {
		cmd := exec.Command(os.Args[0], strings.Fields(tc.args)...)
		cmd.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1", "PROXY_CONFIG="+tc.env, "MASTHILL_SETTINGS="+settings)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != tc.code || !strings.Contains(string(out), tc.says) {
			t.Errorf("%s: exit %d, %s", tc.args, code, out)
		}
	}
}

// The service manager is notified of readiness, of a reload and of the shutdown.
func TestTheServiceManager(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("NOTIFY_SOCKET", path)
	expectNotification := func(want string) {
		t.Helper()
		b := make([]byte, 1024)
		l.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := l.Read(b); err != nil || !strings.HasPrefix(string(b[:n]), want) {
			t.Errorf("%q, %v, want %s", b[:n], err, want)
		}
	}
	p := start(t, newJournal(t), nil, "")
	expectNotification("READY=1\nSTATUS=serving 127.0.0.1:")
	p.Process.Signal(syscall.SIGHUP)
	expectNotification("RELOADING=1\nMONOTONIC_USEC=")
	expectNotification("READY=1")
	p.Process.Signal(syscall.SIGTERM)
	expectNotification("STOPPING=1")
	<-p.ended
}
