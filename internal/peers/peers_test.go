package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"masthill/control/shared"
	"masthill/control/shared/count"
)

// module is one that only keeps what it hears.
type module struct {
	mu    sync.Mutex
	name  string
	heard map[string]int
	ticks int
	tells bool
}

// done counts what the module was called for.
func (m *module) done() (ticks, heard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.heard {
		heard += n
	}
	return m.ticks, heard
}

func (m *module) Tick(int64, int) []shared.Outgoing {
	m.mu.Lock()
	m.ticks++
	m.mu.Unlock()
	if !m.tells {
		return nil
	}
	return []shared.Outgoing{{Message: shared.Message{Count: &count.Message{From: count.Source{Name: m.name, Epoch: 1}, UptimeMS: 1}}}}
}

func (m *module) Receive(_ int64, msg shared.Message) []shared.Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Count != nil {
		m.heard[msg.Count.From.Name]++
	}
	return nil
}

func (m *module) from() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.heard)
}

type member struct {
	*Peers
	m   *module
	end func()
}

var keyA, keyB = []byte("0123456789abcdef"), []byte("fedcba9876543210")

// begin starts a member; its core does everything at once.
func begin(t *testing.T, o Options) *member {
	t.Helper()
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Keys == nil {
		o.Keys = [][]byte{keyA}
	}
	if o.Epoch == 0 {
		o.Epoch = rand.Uint64() | 1
	}
	m := &module{name: o.Name, heard: map[string]int{}, tells: true}
	var mu sync.Mutex
	o.Module, o.TryRun = m, func(f func(int64)) bool {
		mu.Lock()
		defer mu.Unlock()
		f(time.Now().UnixNano())
		return true
	}
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	var once sync.Once
	one := &member{p, m, func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}}
	t.Cleanup(one.end)
	return one
}

// until waits for something to become true, long enough for a machine that has other things to do.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

func (m *member) sees(name, state string) bool {
	for _, one := range m.Members() {
		if one.Name == name {
			return one.State == state
		}
	}
	return false
}

func TestMembersFindEachOtherLeaveAndReturn(t *testing.T) {
	a := begin(t, Options{Name: "a", Site: "cork", Machine: "m1"})
	b := begin(t, Options{Name: "b", Site: "galway", Seeds: []string{a.Addr()}})
	c := begin(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	until(t, "c and b meet", func() bool { return b.sees("c", Alive) && c.sees("b", Alive) && a.m.from() == 2 && b.m.from() == 2 })
	for _, m := range b.Members() {
		if m.Name == "a" && (m.Site != "cork" || m.Machine != "m1") {
			t.Errorf("%+v", m)
		}
	}
	c.end()
	until(t, "c has left", func() bool { return a.sees("c", Left) && b.sees("c", Left) })
	a.end() // the seed is gone: what is left goes on
	begin(t, Options{Name: "c", Seeds: []string{b.Addr()}})
	until(t, "a new process of c", func() bool { return b.sees("c", Alive) })
	for _, m := range b.Members() {
		if m.Name == "c" && m.Starts != 2 {
			t.Errorf("%d starts of c", m.Starts)
		}
	}
	var reasons []string
	for _, ch := range b.Status().Changes {
		reasons = append(reasons, ch.Name+" "+ch.Reason)
	}
	if want := "c " + Restarted; reasons[len(reasons)-1] != want {
		t.Errorf("%v, and the last is to be %q", reasons, want)
	}
}

func TestAMemberThatRemembersNeedsNoSeeds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "members.json")
	a := begin(t, Options{Name: "a"})
	b := begin(t, Options{Name: "b", Seeds: []string{a.Addr()}, MembersFile: file})
	until(t, "they meet", func() bool { return a.sees("b", Alive) && b.sees("a", Alive) })
	b.end()
	if err := os.WriteFile(file+".copy", []byte("]["), 0o600); err != nil {
		t.Fatal(err)
	}
	b = begin(t, Options{Name: "b", MembersFile: file})
	until(t, "b comes back without a seed", func() bool { return b.sees("a", Alive) })
	begin(t, Options{Name: "x", MembersFile: file + ".copy"}) // a spoilt file is no reason not to start
}

func TestTwoProcessesOfOneName(t *testing.T) {
	a := begin(t, Options{Name: "a"})
	first := begin(t, Options{Name: "twin", Seeds: []string{a.Addr()}})
	until(t, "the first is known", func() bool { return a.sees("twin", Alive) })
	time.Sleep(5 * time.Millisecond) // its start is a millisecond's later at least
	second := begin(t, Options{Name: "twin", Seeds: []string{a.Addr()}})
	until(t, "the second notices", func() bool { return second.Status().NameTakenBy == first.Addr() })
	if first.Status().NameTakenBy != "" {
		t.Error("the first gives way, too")
	}
	time.Sleep(2 * tickInterval) // what was under way
	ticks, heard := second.m.done()
	time.Sleep(5 * tickInterval)
	if t2, h2 := second.m.done(); t2 != ticks || h2 != heard {
		t.Error("the second goes on to say and hear things")
	}
	first.end()
	until(t, "the name is free", func() bool { return second.Status().NameTakenBy == "" && a.sees("twin", Alive) })
}

func TestKeysAreRotatedWhileHalfOfTheMembersHaveTheNewOne(t *testing.T) {
	a := begin(t, Options{Name: "a"})
	b := begin(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	until(t, "they meet", func() bool { return a.m.from() == 1 && b.m.from() == 1 })
	for _, keys := range [][][]byte{{keyA, keyB}, {keyB, keyA}, {keyB}} { // known, used, the only one
		if err := b.SetKeys(keys); err != nil {
			t.Fatal(err)
		}
		if len(keys) == 1 {
			break
		}
		if err := a.SetKeys(keys[:2]); err != nil {
			t.Fatal(err)
		}
		before := a.m.count("b")
		until(t, "a hears b", func() bool { return a.m.count("b") > before+3 })
	}
	before, was := a.m.count("b"), b.m.count("a") // a seals with B already, and opens both
	until(t, "they go on", func() bool { return a.m.count("b") > before+3 && b.m.count("a") > was+3 })
	stranger := begin(t, Options{Name: "s", Seeds: []string{b.Addr()}, Keys: [][]byte{keyA}})
	time.Sleep(time.Second)
	if stranger.m.from() > 0 || b.sees("s", Alive) {
		t.Error("one without the key is a member")
	}
}

func (m *module) count(from string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard[from]
}

func TestGarbageAtThePortChangesNothing(t *testing.T) {
	a := begin(t, Options{Name: "a"})
	b := begin(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	until(t, "they meet", func() bool { return a.m.from() == 1 })
	rng := rand.New(rand.NewPCG(1, 2))
	u, err := net.Dial("udp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	for n := range 2000 {
		g := make([]byte, rng.IntN(2000))
		for k := range g {
			g[k] = byte(rng.Uint32())
		}
		if n%100 == 0 {
			g = make([]byte, 60_000) // as large as a datagram can be
		}
		u.Write(g)
	}
	var all sync.WaitGroup
	for n := range 20 {
		all.Go(func() {
			c, err := net.Dial("tcp", a.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			switch n % 4 {
			case 0: // silent
			case 1:
				c.Write([]byte{streamMark})
			case 2:
				c.Write(append([]byte{streamMark}, make([]byte, 500)...))
			case 3:
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			}
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			buf := make([]byte, 64)
			for err == nil {
				_, err = c.Read(buf)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("kind %d is not closed", n%4)
			}
			c.Close()
		})
	}
	all.Wait()
	before := a.m.count("b")
	until(t, "a still hears b", func() bool { return a.m.count("b") > before+3 })
	if !b.sees("a", Alive) || len(a.Members()) != 2 {
		t.Errorf("%+v", a.Members())
	}
}

func TestStreamsAreOrderedAndASlowPeerIsLetGo(t *testing.T) {
	var mu sync.Mutex
	var got []string
	hold := make(chan struct{})
	handlers := map[string]Handler{
		"take": func(_ context.Context, from string, c net.Conn) {
			for {
				b, err := ReadMessage(c)
				if err != nil {
					return
				}
				mu.Lock()
				got = append(got, from+string(b))
				mu.Unlock()
			}
		},
		"slow": func(ctx context.Context, _ string, _ net.Conn) {
			select {
			case <-hold:
			case <-ctx.Done():
			}
		},
	}
	defer close(hold)
	a := begin(t, Options{Name: "a", Handlers: handlers})
	b := begin(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	until(t, "they meet", func() bool { return b.sees("a", Alive) })
	slow, o := b.OpenOrdered("a", "slow"), b.OpenOrdered("a", "take")
	big := make([]byte, MaxMessageSize)
	var err error
	for range 10_000 { // it never blocks, and ends
		if err = slow.Put(big); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrSlowPeer) {
		t.Errorf("the slow one: %v", err)
	}
	for n := range 500 {
		if err := o.Put(fmt.Append(nil, n)); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "all have come", func() bool { mu.Lock(); defer mu.Unlock(); return len(got) == 500 })
	for n, s := range got {
		if s != fmt.Sprint("b", n) {
			t.Fatalf("number %d is %q", n, s)
		}
	}
	if _, err := b.Open(t.Context(), "nobody", "take"); !errors.Is(err, ErrNoMember) {
		t.Errorf("%v", err)
	}
	a.end()
	until(t, "the stream is over", func() bool { return o.Put(nil) != nil })
}

// What a process reads just after it stood still may have waited for it, and is no news.
func TestWhatWaitedIsNoNews(t *testing.T) {
	p, err := New(Options{Name: "a", Listen: "127.0.0.1:0", Keys: [][]byte{keyA}, Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer p.transport.Shutdown()
	now := time.Now()
	for _, c := range []struct {
		beat, woke time.Time
		want       bool
	}{{now, now.Add(-time.Minute), false}, {now.Add(-2 * maxMessageAge), now.Add(-time.Minute), true}, {now, now, true}} {
		p.lastTickAt.Store(c.beat.UnixNano())
		p.resumedAt.Store(c.woke.UnixNano())
		if p.justResumed() != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// What a connection carries can't be changed, nor begun without a key.
func TestSealedRecords(t *testing.T) {
	a := begin(t, Options{Name: "a", Handlers: map[string]Handler{}})
	for _, change := range []func(b []byte){func(b []byte) { b[len(b)-1] ^= 1 }, func(b []byte) { b[0] = 0xff }} {
		c, err := net.Dial("tcp", a.Addr())
		if err != nil {
			t.Fatal(err)
		}
		s, err := seal(c, a.ring, true)
		if err != nil {
			t.Fatal(err)
		}
		s.Conn = &spoiler{c, change}
		writeText(s, "b")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a spoilt record: %v", err)
		}
		c.Close()
	}
}

type spoiler struct {
	net.Conn
	change func([]byte)
}

func (s *spoiler) Write(b []byte) (int, error) {
	s.change(b)
	return s.Conn.Write(b)
}

// A message of 200 bytes over an ordered stream, sealed, between two members.
func BenchmarkOrdered(b *testing.B) {
	ring := func() *memberlist.Keyring {
		r, err := memberlist.NewKeyring([][]byte{keyA}, keyA)
		if err != nil {
			b.Fatal(err)
		}
		return r
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var mark [1]byte
		c.Read(mark[:])
		s, err := seal(c, ring(), false)
		if err != nil {
			return
		}
		ses, err := newSession(s, false, slog.New(slog.DiscardHandler))
		if err != nil {
			return
		}
		st, err := ses.Accept()
		for err == nil {
			_, err = ReadMessage(st)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	s, err := seal(c, ring(), true)
	if err != nil {
		b.Fatal(err)
	}
	ses, err := newSession(s, true, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	defer ses.Close()
	st, err := ses.Open()
	if err != nil {
		b.Fatal(err)
	}
	msg := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if err := WriteMessage(st, msg); err != nil {
			b.Fatal(err)
		}
	}
}
