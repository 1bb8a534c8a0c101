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

// fleetBed is a fleet of this test's own program in a folder of the test's.
type fleetBed struct {
	t    *testing.T
	file string
	spec *fleet.Spec
	*fleet.Client
	up *exec.Cmd
}

func newFleet(t *testing.T, instances int) *fleetBed {
	t.Helper()
	dir, err := os.MkdirTemp("", "fl") // short: a socket's path is bounded
	if err != nil {
		t.Fatal(err)
	}
	ledger := newLedger()
	offices := []string{sipOffice(t, newProcessor(ledger, "a")), sipOffice(t, newProcessor(ledger, "b"))}
	text := strings.NewReplacer(`"n0"`, `"%NAME%"`, "127.0.0.1:0", "%LISTEN%", "8c1f30d27a5be964", "%SEED%", `"cold_ns":15000000000`, `"cold_ns":400000000`,
		`"group_size":1`, `"group_size":%COUNT%,"ordinal":%ORDINAL%`).Replace(configuration(newJournal(t), offices))
	b := &fleetBed{t: t, file: filepath.Join(dir, "fleet.toml")}
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
		if b.SendCommand(t.Context(), "down", ""); b.up != nil {
			b.up.Process.Signal(syscall.SIGTERM)
			b.up.Wait()
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

// masthill runs one command line.
func (b *fleetBed) masthill(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1")
	return cmd
}

func (b *fleetBed) start() {
	b.t.Helper()
	b.up = b.masthill("fleet", "up", b.file)
	b.up.Stderr = os.Stderr
	if err := b.up.Start(); err != nil {
		b.t.Fatal(err)
	}
}

// until waits for something to be so; no machine is too slow for half a minute.
func (b *fleetBed) until(what string, is func(s *fleet.Status) bool) *fleet.Status {
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

func serving(s *fleet.Status) bool {
	for _, m := range s.Instances {
		if m.Phase != "serving" {
			return false
		}
	}
	return len(s.Instances) > 0
}

// processes counts what runs in the fleet's folders: never two in one.
func (b *fleetBed) processes() (n int) {
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
			b.t.Errorf("%d processes of %s", k, dir)
		}
	}
	return n
}

// A supervisor that is killed in the middle of a rollout loses no instance, and the one after it goes on: it takes the
// running ones over, with their listening sockets, and finishes.
func TestASupervisorIsKilledMidRollout(t *testing.T) {
	b := newFleet(t, 4)
	first := b.until("up", serving)
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
	b.until("half done", func(s *fleet.Status) bool { return s.Rollout != nil && s.Rollout.Remaining <= 2 })
	b.up.Process.Kill()
	b.up.Wait()
	if n := b.processes(); n < 2 {
		t.Errorf("%d instances outlived their supervisor", n)
	}
	if _, err := b.Status(t.Context()); !errors.Is(err, ctl.ErrNotRunning) {
		t.Error(err)
	}
	b.start()
	s := b.until("finished", func(s *fleet.Status) bool { return s.Outcome != nil && serving(s) })
	if s.Outcome.State != "done" || s.Generation != "2" {
		t.Errorf("%+v", s)
	}
	if n := b.processes(); n != 4 {
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
		t.Errorf("no snapshot was taken up:\n%s", text)
	}
}

// A new version that fails halts the rollout at its first instance and is turned back; one that can't read the files
// replaces nothing at all.
func TestABadVersion(t *testing.T) {
	b := newFleet(t, 3)
	b.until("up", serving)
	bad := filepath.Join(b.spec.Dir, "bad")
	if err := os.WriteFile(bad, []byte("#!/bin/sh\n[ \"$1\" = check ] && exit 0\nexit 7\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	out, err := b.masthill("fleet", "upgrade", b.file, bad).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitHalted || !strings.Contains(string(out), "turned-back") {
		t.Errorf("%v: %s", err, out)
	}
	s := b.until("back", serving)
	ends := 0
	for _, m := range s.Instances {
		ends += m.UnexpectedExits
		if m.Generation != "1" {
			t.Errorf("%+v", m)
		}
	}
	if ends != 1 || b.processes() != 3 {
		t.Errorf("%d instances of the bad version failed, of one; %d run", ends, b.processes())
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

// An instance that is killed comes back by itself, at its own address; while it is away connections wait for it.
func TestAKilledInstanceComesBack(t *testing.T) {
	b := newFleet(t, 1)
	m := b.until("up", serving).Instances[0]
	syscall.Kill(m.PID, syscall.SIGKILL)
	p := dial(t, m.Listen) // into the backlog of a socket that the supervisor holds
	p.write("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	p.want(200, "")
	s := b.until("back", func(s *fleet.Status) bool { return serving(s) && s.Instances[0].PID != m.PID })
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

// A bad configuration is not tried again and again; a reload with a mended one brings the instance back.
func TestABadConfigurationIsNoCrashLoop(t *testing.T) {
	b := newFleet(t, 1)
	m := b.until("up", serving).Instances[0]
	settings := filepath.Join(filepath.Dir(b.file), "masthill.toml")
	good, _ := os.ReadFile(settings)
	os.WriteFile(settings, []byte("[store]\ndriver = \"oracle\"\n"), 0o600)
	if err := b.SendCommand(t.Context(), "reload", ""); err == nil || !strings.Contains(err.Error(), "masthill.toml:2: store.driver") {
		t.Error(err)
	}
	if s, err := b.Status(t.Context()); err != nil || !serving(s) || s.Instances[0].PID != m.PID {
		t.Error("a fault in the files touched a running instance", s, err)
	}
	syscall.Kill(m.PID, syscall.SIGKILL)
	s := b.until("given up", func(s *fleet.Status) bool { return s.Instances[0].Phase == "failed" })
	if !strings.Contains(s.Instances[0].Failed, "bad configuration") || s.Instances[0].UnexpectedExits != 2 {
		t.Errorf("%+v", s.Instances[0])
	}
	os.WriteFile(settings, good, 0o600)
	if err := b.SendCommand(t.Context(), "reload", ""); err != nil {
		t.Fatal(err)
	}
	b.until("back", serving)
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
		{good, "status", exitNobody, "no instance answers"},
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

// The service manager hears of readiness, of a reload and of the end.
func TestTheServiceManager(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	l, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("NOTIFY_SOCKET", path)
	hear := func(want string) {
		t.Helper()
		b := make([]byte, 1024)
		l.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := l.Read(b); err != nil || !strings.HasPrefix(string(b[:n]), want) {
			t.Errorf("%q, %v, want %s", b[:n], err, want)
		}
	}
	p := start(t, newJournal(t), nil, "")
	hear("READY=1\nSTATUS=serving 127.0.0.1:")
	p.Process.Signal(syscall.SIGHUP)
	hear("RELOADING=1\nMONOTONIC_USEC=")
	hear("READY=1")
	p.Process.Signal(syscall.SIGTERM)
	hear("STOPPING=1")
	<-p.ended
}
