package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"masthill/control/distribution"
)

const (
	releaseFleet = "harvest"
	oldToken     = "a-token-of-before-0123456789"
	newToken     = "a-token-from-now-on-0123456789"
)

// releaseFixture is a fleet that follows configuration releases, with servers and instances in processes of their own.
type releaseFixture struct {
	t         *testing.T
	dir, key  string
	public    string
	servers   []string
	processes []*exec.Cmd // of the servers
}

func newReleaseFixture(t *testing.T, servers int) *releaseFixture {
	t.Helper()
	b := &releaseFixture{t: t, dir: t.TempDir()}
	b.key = filepath.Join(b.dir, "key")
	out, code := b.masthill("keygen", b.key)
	if b.public = strings.TrimSpace(out); code != exitOK {
		t.Fatal(out)
	}
	for range servers {
		b.servers = append(b.servers, freeAddr(t))
	}
	b.processes = make([]*exec.Cmd, servers)
	for k := range servers {
		b.startServer(k)
	}
	return b
}

// command makes the command for one command line of masthill config.
func (b *releaseFixture) command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], append([]string{"config"}, args...)...)
	cmd.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1")
	return cmd
}

func (b *releaseFixture) masthill(args ...string) (out string, code int) {
	cmd := b.command(args...)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}

// startServer starts a server, which resumes from its stored state.
func (b *releaseFixture) startServer(k int) {
	b.t.Helper()
	cmd := b.command("serve", "--fleet", releaseFleet, "--servers", strings.Join(b.servers, ","), "--listen", b.servers[k],
		"--dir", filepath.Join(b.dir, fmt.Sprint("server", k)), "--keys", b.public)
	if err := cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.processes[k] = cmd
	b.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", b.servers[k]); err == nil {
			c.Close()
			return
		} else if time.Now().After(end) {
			b.t.Fatal(err)
		}
	}
}

func (b *releaseFixture) killServer(k int) {
	b.processes[k].Process.Kill()
	b.processes[k].Wait()
}

// instance starts an instance in a zone that follows some servers; more is appended to its settings.
func (b *releaseFixture) instance(name, zone string, servers []string, more string) *program {
	b.t.Helper()
	quoted, _ := json.Marshal(servers)
	text := strings.Replace(configuration(newJournal(b.t), []string{sipOffice(b.t, newProcessor(newAttemptLog(), "office"))}), `"name":"n0"`, fmt.Sprintf(`"name":%q`, name), 1)
	return startWith(b.t, text, fmt.Sprintf("[distribution]\nservers = %s\nfleet = %q\nzone = %q\nkeys = [%q]\nmax_age = \"3s\"\ndir = %q\n[shares]\nenabled = true\n%s",
		quoted, releaseFleet, zone, b.public, filepath.Join(b.dir, name), more))
}

// publish publishes a release that zone a takes at once and all others after rest, and follows it for the time follow.
func (b *releaseFixture) publish(content, rest, follow string) (out string, code int) {
	b.t.Helper()
	file := filepath.Join(b.dir, "content.toml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return b.masthill("publish", "--fleet", releaseFleet, "--servers", strings.Join(b.servers, ","), "--key-file", b.key, "--stage", "a=0s",
		"--rest", rest, "--wait", "10s", "--follow", follow, file)
}

func (b *releaseFixture) mustPublish(content, rest, follow string) {
	b.t.Helper()
	if out, code := b.publish(content, rest, follow); code != exitOK {
		b.t.Fatalf("exit code %d: %s", code, out)
	}
}

// waitUntil waits until the combined status of the servers meets a condition.
func (b *releaseFixture) waitUntil(what string, is func(o distribution.Overview) bool) {
	b.t.Helper()
	var out string
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		out, _ = b.masthill("status", "--json", "--servers", strings.Join(b.servers, ","))
		var o distribution.Overview
		if json.Unmarshal([]byte(out), &o) == nil && is(o) {
			return
		}
	}
	b.t.Fatalf("never %s: %s", what, out)
}

// isRunning tells whether an instance runs a version, as it reported within 5 s.
func isRunning(o distribution.Overview, member string, version distribution.Version) bool {
	for _, m := range o.Members {
		if m.Member == member && m.AgeMS < 5000 {
			return m.Running == version
		}
	}
	return false
}

// waitForLog waits for a text in the program's log.
func (p *program) waitForLog(text string) {
	p.t.Helper()
	for end := time.Now().Add(30 * time.Second); !p.logged(text); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("never logged: %s", text)
		}
	}
}

// checkServing checks that the instance serves its callers.
func (p *program) checkServing() {
	p.t.Helper()
	c := dial(p.t, p.sip)
	c.write(optionsRequest)
	c.expect(200, "")
}

// tokenStatus is the status of the answer to a request for a call socket with a token.
func tokenStatus(t *testing.T, addr, token string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/v1/calls", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// A release comes into force on all instances by its stages and changes what it sets, here which callers may connect. A
// release that an instance cannot apply is halted, and all instances go back to the last good one.
func TestAReleaseAndOneThatIsHalted(t *testing.T) {
	b := newReleaseFixture(t, 3)
	callers := fmt.Sprintf("[callws]\nlisten = \"127.0.0.1:0\"\ncallers = { station = %q }\n", oldToken)
	a := b.instance("a0", "a", b.servers, callers)
	b0 := b.instance("b0", "b", b.servers, callers)
	plain := b.instance("b1", "b", b.servers, "") // without call control, it cannot apply a release that changes callers
	b.mustPublish("[shares.fractions]\nacme = 0.5\n", "1s", "20s")
	if got := tokenStatus(t, a.callws, oldToken); got == http.StatusUnauthorized {
		t.Error("a caller that the release does not mention is refused")
	}
	out, code := b.publish(fmt.Sprintf("[callws.callers]\nstation = %q\n", newToken), "1s", "20s")
	if code != exitHalted || !strings.Contains(out, "could not apply") {
		t.Fatalf("exit code %d: %s", code, out)
	}
	b.waitUntil("back", func(o distribution.Overview) bool {
		return isRunning(o, "a0", 1) && isRunning(o, "b0", 1) && isRunning(o, "b1", 1)
	})
	if !a.logged("version=2 before=1") || !plain.logged("call control over WebSocket is off") {
		t.Error("no instance tried to apply the release")
	}
	if got := tokenStatus(t, a.callws, oldToken); got == http.StatusUnauthorized {
		t.Error("the old token does not work again")
	}
	plain.stop()
	b.mustPublish(fmt.Sprintf("[callws.callers]\nstation = %q\n", newToken), "1s", "20s")
	for _, p := range []*program{a, b0} {
		if was, is := tokenStatus(t, p.callws, oldToken), tokenStatus(t, p.callws, newToken); was != http.StatusUnauthorized || is == http.StatusUnauthorized {
			t.Errorf("the old token is answered %d, the new one %d", was, is)
		}
	}
	if out, code := b.publish("[store]\ndriver = \"sqlite\"\n", "0s", "1s"); code != exitUsage || !strings.Contains(out, "content.toml:1: store: unknown key") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// When all configuration servers are lost, instances keep serving and keep the release in force over their own
// restarts. When the servers come back one after the other, the fleet follows them again.
func TestAllConfigurationServersLost(t *testing.T) {
	b := newReleaseFixture(t, 3)
	one := b.instance("a0", "a", b.servers, "")
	b.mustPublish("[log]\nlevel = \"debug\"\n", "0s", "20s")
	for k := range b.servers {
		b.killServer(k)
	}
	one.waitForLog("configuration server left")
	one.checkServing()
	one.stop()
	again := b.instance("a0", "a", b.servers, "")
	again.waitForLog("version=1 before=\"the same\"")
	again.checkServing()
	b.startServer(1)
	b.waitUntil("followed again", func(o distribution.Overview) bool { return isRunning(o, "a0", 1) })
	if out, code := b.publish("[log]\nlevel = \"info\"\n", "0s", "0s"); code != exitFailed || !strings.Contains(out, "1 of 3 servers") {
		t.Errorf("published without a majority: exit code %d: %s", code, out)
	}
	b.startServer(0)
	b.waitUntil("copied", func(o distribution.Overview) bool {
		return len(o.Servers) == 2 && o.Servers[0].Version == 2 && o.Servers[1].Version == 2
	})
	b.waitUntil("in force", func(o distribution.Overview) bool { return isRunning(o, "a0", 2) })
}

// relay forwards connections to a server; while it is cut, it closes them.
type relay struct {
	net.Listener
	mu   sync.Mutex
	cut  bool
	open map[net.Conn]bool
}

func newRelay(t *testing.T, to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &relay{Listener: l, open: map[net.Conn]bool{}}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(from, to)
		}
	}()
	return r
}

func (r *relay) pass(from net.Conn, to string) {
	defer from.Close()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	r.mu.Lock()
	if r.cut {
		r.mu.Unlock()
		return
	}
	r.open[from] = true
	r.mu.Unlock()
	go func() { io.Copy(server, from); server.Close() }()
	io.Copy(from, server)
	r.mu.Lock()
	delete(r.open, from)
	r.mu.Unlock()
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for c := range r.open {
		if cut {
			c.Close()
		}
	}
}

// A region that is cut off from all servers keeps the release in force and reports that it is stale, while the rest of
// the fleet takes a new one. Two versions run side by side until the connections are restored, when the region takes
// the new release too.
func TestARegionCutOffFromItsServers(t *testing.T) {
	b := newReleaseFixture(t, 3)
	var relays []*relay
	var through []string
	for _, server := range b.servers {
		r := newRelay(t, server)
		relays, through = append(relays, r), append(through, r.Addr().String())
	}
	socket := filepath.Join(b.dir, "ctl")
	far := b.instance("far", "b", through, fmt.Sprintf("[socket]\npath = %q\n", socket))
	b.instance("near", "a", b.servers, "")
	b.mustPublish("[log]\nlevel = \"info\"\n", "0s", "20s")
	for _, r := range relays {
		r.setCut(true)
	}
	b.mustPublish("[log]\nlevel = \"warn\"\n", "0s", "0s")
	b.waitUntil("in force near by", func(o distribution.Overview) bool { return isRunning(o, "near", 2) })
	state := func() (told struct {
		Release struct {
			State   distribution.State
			Running distribution.Version
			AgeMS   int64 `json:"age_ms"`
		}
	}) {
		cmd := exec.Command(os.Args[0], "status", "--json", "--socket", socket)
		cmd.Env = append(os.Environ(), "MASTHILL_TEST_RUN=1")
		out, err := cmd.Output()
		if err == nil {
			err = json.Unmarshal(out, &told)
		}
		if err != nil {
			t.Fatal(err, string(out))
		}
		return told
	}
	for end := time.Now().Add(30 * time.Second); state().Release.State != distribution.Stale; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the instance was never stale: %+v", state())
		}
	}
	if got := state().Release; got.Running != 1 || got.AgeMS < 3000 {
		t.Errorf("%+v", got)
	}
	far.checkServing()
	for _, r := range relays {
		r.setCut(false)
	}
	b.waitUntil("healed", func(o distribution.Overview) bool { return isRunning(o, "far", 2) })
}

// One of two servers is malicious: it announces a release without a valid signature, and later an outdated one. The
// instance switches to the other server each time and runs the release of that one.
func TestAMaliciousServer(t *testing.T) {
	b := newReleaseFixture(t, 1)
	forged := distribution.Release{Fleet: releaseFleet, Version: 9, Stages: []distribution.Stage{{}}, Content: []byte("[log]\nlevel = \"error\"\n"), Signature: make([]byte, 64)}
	var mu sync.Mutex
	head := distribution.Head{Version: forged.Version, Digest: forged.Digest()}
	maliciousServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/releases") {
			json.NewEncoder(w).Encode(forged)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{"head": head, "tag": fmt.Sprint(head.Version)})
	}))
	defer maliciousServer.Close()
	b.killServer(0) // so that the instance asks the malicious server
	one := b.instance("a0", "a", []string{maliciousServer.Listener.Addr().String(), b.servers[0]}, "")
	one.waitForLog("reason=forged")
	b.startServer(0)
	b.waitUntil("followed", func(o distribution.Overview) bool { return isRunning(o, "a0", 0) })
	b.mustPublish("[log]\nlevel = \"info\"\n", "0s", "20s")
	mu.Lock()
	head = distribution.Head{}
	mu.Unlock()
	b.killServer(0) // so that the instance asks the malicious server again
	one.waitForLog("reason=stale")
	b.startServer(0)
	b.waitUntil("followed again", func(o distribution.Overview) bool { return isRunning(o, "a0", 1) })
	if one.logged("version=9") {
		t.Error("the instance took the forged release")
	}
	one.checkServing()
}

// In the middle of a release one server is lost, and an operator halts the release at another one. All servers learn of
// the halt, also the lost one once it is back.
func TestAHaltInTheMidstOfARelease(t *testing.T) {
	b := newReleaseFixture(t, 3)
	b.instance("a0", "a", b.servers, "")
	b.instance("b0", "b", b.servers, "")
	b.mustPublish("[log]\nlevel = \"info\"\n", "0s", "20s")
	b.mustPublish("[log]\nlevel = \"warn\"\n", "30s", "0s")
	b.waitUntil("in its first stage", func(o distribution.Overview) bool { return isRunning(o, "a0", 2) && isRunning(o, "b0", 1) })
	b.killServer(0)
	if out, code := b.masthill("halt", "--fleet", releaseFleet, "--servers", b.servers[1], "--key-file", b.key, "--version", "2", "--reason", "calls are lost"); code != exitOK {
		t.Fatal(out)
	}
	b.waitUntil("back", func(o distribution.Overview) bool {
		return isRunning(o, "a0", 1) && isRunning(o, "b0", 1) && o.Halted != ""
	})
	b.startServer(0) // it has stored version 2 as good, and learns of the halt
	b.waitUntil("heard by all", func(o distribution.Overview) bool {
		for _, s := range o.Servers {
			if s.Halted == "" {
				return false
			}
		}
		return len(o.Servers) == 3
	})
	b.processes[2].Process.Signal(syscall.SIGTERM)
	b.processes[2].Wait()
	if code := b.processes[2].ProcessState.ExitCode(); code != exitOK {
		t.Errorf("a server ended with exit code %d", code)
	}
}
