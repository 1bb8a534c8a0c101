package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"masthill/internal/ctl"
	"masthill/internal/peers"
)

// The keys of a fleet, each 16 bytes in base64.
const oldKey, newKey = "MDEyMzQ1Njc4OWFiY2RlZg==", "ZmVkY2JhOTg3NjU0MzIxMA=="

// queryPeers queries what a process knows of the other members; nil: no answer.
func queryPeers(socket string) *ctl.Peers {
	var out bytes.Buffer
	if run([]string{"peers", "--socket", socket, "--json"}, signals{}, &out, &out) != exitOK {
		return nil
	}
	p := &ctl.Peers{}
	if json.Unmarshal(out.Bytes(), p) != nil {
		return nil
	}
	return p
}

// allReceived tells whether a process counts exactly that many members as alive and has received something from each
// within 1.5 s.
func allReceived(socket string, members int) bool {
	p := queryPeers(socket)
	if p == nil {
		return false
	}
	alive := 0
	for _, m := range p.Members {
		if m.State == peers.Alive {
			alive++
		}
	}
	if alive != members || len(p.Shared.KnownCounts) < members {
		return false
	}
	heard := 0
	for _, k := range p.Shared.KnownCounts {
		if k.AgeMS < 1500 {
			heard++
		}
	}
	return heard >= members
}

// Four processes form a fleet. Their keys are changed by SIGHUP, on all of them and then on half; one is killed, and
// one leaves. A second process of the same name stays silent.
func TestFleetMembership(t *testing.T) {
	feed := newJournal(t)
	dir := t.TempDir()
	var seed string
	settings := func(name, keys string) string {
		return fmt.Sprintf("[socket]\npath = %q\n[peers]\nlisten = \"127.0.0.1:0\"\nname = %q\nmachine = %q\nsite = \"cork\"\nseeds = [%s]\nkeys = [%s]\nkeepers = [\"a\", \"b\", \"c\"]\nbudgets = true\njudgements = true\nmost = 4\n",
			filepath.Join(dir, name), name, "m-"+name, seed, keys)
	}
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("not within 30 s: " + what)
			}
		}
	}
	quoted := func(keys ...string) string { return `"` + strings.Join(keys, `", "`) + `"` }
	names := []string{"a", "b", "c", "d"}
	all := map[string]*program{}
	for _, name := range names {
		all[name] = start(t, feed, nil, settings(name, quoted(oldKey)))
		if name == "a" {
			until("a reports its address", func() bool { return queryPeers(filepath.Join(dir, "a")) != nil })
			seed = fmt.Sprintf("%q", queryPeers(filepath.Join(dir, "a")).Addr)
		}
	}
	allHeardBy := func(n int, of ...string) func() bool {
		return func() bool {
			for _, name := range of {
				if !allReceived(filepath.Join(dir, name), n) {
					return false
				}
			}
			return true
		}
	}
	until("all four hear each other", allHeardBy(4, names...))
	rotate := func(keys string, of ...string) {
		for _, name := range of {
			p := all[name]
			file := filepath.Join(filepath.Dir(p.config), "callws.toml")
			if err := os.WriteFile(file, []byte(settings(name, keys)), 0o600); err != nil {
				t.Fatal(err)
			}
			changed := func() int {
				p.mu.Lock()
				defer p.mu.Unlock()
				return strings.Count(p.log.String(), `msg="keys changed"`)
			}
			before := changed()
			p.Process.Signal(syscall.SIGHUP)
			until("keys changed", func() bool { return changed() > before })
		}
	}
	rotate(quoted(oldKey, newKey), names...)
	rotate(quoted(newKey, oldKey), "a", "b") // half of them now encrypt with the new key
	time.Sleep(1500 * time.Millisecond)      // until what was received before is too old to count
	until("they still hear each other", allHeardBy(4, names...))

	duplicate := start(t, feed, nil, strings.Replace(settings("d", quoted(newKey, oldKey)), filepath.Join(dir, "d"), filepath.Join(dir, "twin"), 1))
	until("the second d finds its name taken", func() bool { p := queryPeers(filepath.Join(dir, "twin")); return p != nil && p.NameTakenBy != "" })
	duplicate.Process.Kill()

	all["d"].Process.Kill()
	until("d is gone", func() bool {
		for _, m := range queryPeers(filepath.Join(dir, "a")).Members {
			if m.Name == "d" {
				return m.State == peers.Gone
			}
		}
		return false
	})
	all["c"].stop()
	until("c has left", func() bool {
		for _, m := range queryPeers(filepath.Join(dir, "b")).Members {
			if m.Name == "c" {
				return m.State == peers.Left
			}
		}
		return false
	})
	var out bytes.Buffer
	if code := run([]string{"peers", "--socket", filepath.Join(dir, "b")}, signals{}, &out, &out); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{"b (this)  alive", "c         left", "d         gone", "cork", "m-d"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	out.Reset()
	run([]string{"status", "--socket", filepath.Join(dir, "b")}, signals{}, &out, &out)
	if !strings.Contains(out.String(), "together: 2 alive, 0 suspect, 1 gone, 1 left; allocator") {
		t.Error(out.String())
	}
	plain := start(t, feed, nil, fmt.Sprintf("[socket]\npath = %q\n", filepath.Join(dir, "plain")))
	out.Reset()
	if code := run([]string{"peers", "--socket", filepath.Join(dir, "plain")}, signals{}, &out, &out); code != exitFailed || !strings.Contains(out.String(), "knows of no others") {
		t.Errorf("%d: %s", code, out.String())
	}
	plain.stop()
}
