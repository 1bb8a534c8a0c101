package releases

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/control/distribution"
	"masthill/internal/netcase"
)

const testFleet = "harvest"

var testKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func publicKeys() []ed25519.PublicKey {
	return []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}
}

func newRelease(version distribution.Version, content string) distribution.Release {
	r := distribution.Release{Fleet: testFleet, Version: version, Stages: []distribution.Stage{{}}, Content: []byte(content)}
	r.Sign(testKey)
	return r
}

// runUntilCleanup runs a function in the background until the end of the test.
func runUntilCleanup(t *testing.T, f func(ctx context.Context) error) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// newServer starts a server at an address of its own.
func newServer(t *testing.T, dir string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerOptions{Name: l.Addr().String(), Fleet: testFleet, Keys: publicKeys(), HaltAfter: 1, Dir: dir, Log: netcase.DiscardLogger()})
	runUntilCleanup(t, func(ctx context.Context) error { return s.Serve(ctx, l) })
	return l.Addr().String()
}

// applied records the versions that an instance applies.
type applied struct {
	mu              sync.Mutex
	versions        []distribution.Version
	appliedVersions chan distribution.Version
}

func (a *applied) apply(release *distribution.Release) error {
	version := distribution.Version(0)
	if release != nil {
		version = release.Version
	}
	a.mu.Lock()
	a.versions = append(a.versions, version)
	a.mu.Unlock()
	a.appliedVersions <- version
	if release != nil && strings.Contains(string(release.Content), "bad") {
		return errors.New("bad content")
	}
	return nil
}

func newMember(t *testing.T, servers ...string) (*Member, *applied) {
	t.Helper()
	a := &applied{appliedVersions: make(chan distribution.Version, 16)}
	m := NewMember(MemberOptions{Name: "m", Zone: "z", Fleet: testFleet, Servers: servers, Keys: publicKeys(), MaxAge: 3 * time.Second,
		Dir: t.TempDir(), Seed: 1, Log: netcase.DiscardLogger(), Apply: a.apply})
	runUntilCleanup(t, m.Run)
	return m, a
}

// waitFor waits for the next version that is applied, and returns how long it took.
func (a *applied) waitFor(t *testing.T, version distribution.Version) time.Duration {
	t.Helper()
	began := time.Now()
	select {
	case got := <-a.appliedVersions:
		if got != version {
			t.Fatalf("version %d applied, wanted %d", got, version)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("version %d is not applied", version)
	}
	return time.Since(began)
}

// A changed head is sent at once to the instances whose polls are waiting.
func TestChangedHeadAnswersWaitingPolls(t *testing.T) {
	client, server := NewClient(nil), newServer(t, t.TempDir())
	m, a := newMember(t, server)
	for m.Status().AgeMS < 0 {
		time.Sleep(time.Millisecond)
	}
	if err := client.Publish(t.Context(), server, newRelease(1, "one")); err != nil {
		t.Fatal(err)
	}
	a.waitFor(t, 1)
	if err := client.Publish(t.Context(), server, newRelease(2, "bad")); err == nil || !strings.Contains(err.Error(), "under way") {
		t.Error(err)
	}
	order := distribution.HaltOrder{Fleet: testFleet, Version: 1}
	order.Sign(testKey)
	if err := client.Halt(t.Context(), server, order); err != nil {
		t.Fatal(err)
	}
	a.waitFor(t, 0)
	if err := client.Publish(t.Context(), server, newRelease(2, "bad")); err != nil {
		t.Fatal(err)
	}
	a.waitFor(t, 2)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		status, err := client.Status(t.Context(), server)
		if err == nil && status.Head.Halted != "" && len(status.Members) == 1 && status.Members[0].Detail == "bad content" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, %v", status, err)
		}
	}
	if m.Status().Running != 0 {
		t.Errorf("%+v", m.Status())
	}
}

// A restarted server serves the release that it stored.
func TestRestartedServerServesStoredRelease(t *testing.T) {
	dir := t.TempDir()
	client, first := NewClient(nil), newServer(t, dir)
	if err := client.Publish(t.Context(), first, newRelease(1, "one")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(filepath.Join(dir, serverFile)); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	_, a := newMember(t, newServer(t, dir))
	a.waitFor(t, 1)
}

// Invalid requests are refused at once, and do not disturb the server.
func TestInvalidRequestsAreRefused(t *testing.T) {
	server := newServer(t, t.TempDir())
	forged := newRelease(1, "one")
	forged.Content = []byte("two")
	text, _ := json.Marshal(forged)
	for name, tc := range map[string]struct {
		method, path, body string
		status             int
	}{
		"no JSON":        {"POST", "/v1/poll", "{", 400},
		"a long poll":    {"POST", "/v1/poll", `{"member":"` + strings.Repeat("x", maxPoll) + `"}`, 400},
		"forged":         {"POST", "/v1/releases", string(text), 409},
		"a long release": {"POST", "/v1/releases", `{"content":"` + strings.Repeat("A", maxTransfer) + `"}`, 400},
		"no version":     {"GET", "/v1/releases/x", "", 400},
		"none such":      {"GET", "/v1/releases/7", "", 404},
		"unsigned halt":  {"POST", "/v1/halt", `{"fleet":"harvest","version":1}`, 409},
		"no such path":   {"GET", "/", "", 404},
	} {
		began := time.Now()
		request, err := http.NewRequest(tc.method, "http://"+server+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != tc.status || time.Since(began) > 3*time.Second {
			t.Errorf("%s: status %d after %v", name, response.StatusCode, time.Since(began))
		}
	}
	if status, err := NewClient(nil).Status(t.Context(), server); err != nil || status.Head.Version != 0 || len(status.Members) != 0 {
		t.Errorf("%+v, %v", status, err)
	}
}

// A hanging disk blocks nobody, and only the newest value waits for it.
func TestHangingDiskDoesNotBlock(t *testing.T) {
	s := newFileWriter(filepath.Join(t.TempDir(), "kept.json"), netcase.DiscardLogger())
	for n := range 1000 { // nothing is written meanwhile
		s.enqueue(n)
	}
	done := make(chan struct{})
	close(done)
	s.run(done)
	var kept int
	if loadFile(s.path, &kept, netcase.DiscardLogger()); kept != 999 {
		t.Error(kept)
	}
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if loadFile(s.path, &kept, netcase.DiscardLogger()); kept != 999 {
		t.Error("the value changed on reading a damaged file", kept)
	}
}
