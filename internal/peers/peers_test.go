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

// recordingModule is a Module that counts its calls and the received messages by sender.
type recordingModule struct {
	mu       sync.Mutex
	name     string
	received map[string]int
	ticks    int
	sends    bool
}

// counts returns the number of ticks and of received messages.
func (m *recordingModule) counts() (ticks, received int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.received {
		received += n
	}
	return m.ticks, received
}

func (m *recordingModule) Tick(int64, int) []shared.Outgoing {
	m.mu.Lock()
	m.ticks++
	m.mu.Unlock()
	if !m.sends {
		return nil
	}
	return []shared.Outgoing{{Message: shared.Message{Count: &count.Message{From: count.Source{Name: m.name, Epoch: 1}, UptimeMS: 1}}}}
}

func (m *recordingModule) Receive(_ int64, msg shared.Message) []shared.Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.Count != nil {
		m.received[msg.Count.From.Name]++
	}
	return nil
}

// senderCount returns how many members messages were received from.
func (m *recordingModule) senderCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.received)
}

// member is a running member and its module.
type member struct {
	*Peers
	module *recordingModule
	stop   func()
}

var keyA, keyB = []byte("0123456789abcdef"), []byte("fedcba9876543210")

// startMember starts a member whose TryRun runs functions at once.
func startMember(t *testing.T, o Options) *member {
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
	recorder := &recordingModule{name: o.Name, received: map[string]int{}, sends: true}
	var mu sync.Mutex
	o.Module, o.TryRun = recorder, func(f func(int64)) bool {
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
	started := &member{p, recorder, func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}}
	t.Cleanup(started.stop)
	return started
}

// waitUntil waits until a condition is true. The timeout allows for a machine under load.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout while waiting until " + what)
		}
	}
}

// hasMember tells whether m sees the named member in a state.
func (m *member) hasMember(name, state string) bool {
	for _, other := range m.Members() {
		if other.Name == name {
			return other.State == state
		}
	}
	return false
}

func TestMembersFindEachOtherLeaveAndReturn(t *testing.T) {
	a := startMember(t, Options{Name: "a", Site: "cork", Machine: "m1"})
	b := startMember(t, Options{Name: "b", Site: "galway", Seeds: []string{a.Addr()}})
	c := startMember(t, Options{Name: "c", Seeds: []string{a.Addr()}})
	waitUntil(t, "b and c see each other", func() bool {
		return b.hasMember("c", Alive) && c.hasMember("b", Alive) && a.module.senderCount() == 2 && b.module.senderCount() == 2
	})
	for _, m := range b.Members() {
		if m.Name == "a" && (m.Site != "cork" || m.Machine != "m1") {
			t.Errorf("%+v", m)
		}
	}
	c.stop()
	waitUntil(t, "a and b see that c has left", func() bool { return a.hasMember("c", Left) && b.hasMember("c", Left) })
	a.stop() // b must go on without its seed
	startMember(t, Options{Name: "c", Seeds: []string{b.Addr()}})
	waitUntil(t, "b sees the new process of c", func() bool { return b.hasMember("c", Alive) })
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
		t.Errorf("changes are %v, the last should be %q", reasons, want)
	}
}

func TestSavedMembersReplaceSeeds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "members.json")
	a := startMember(t, Options{Name: "a"})
	b := startMember(t, Options{Name: "b", Seeds: []string{a.Addr()}, MembersFile: file})
	waitUntil(t, "a and b see each other", func() bool { return a.hasMember("b", Alive) && b.hasMember("a", Alive) })
	b.stop()
	if err := os.WriteFile(file+".copy", []byte("]["), 0o600); err != nil {
		t.Fatal(err)
	}
	b = startMember(t, Options{Name: "b", MembersFile: file})
	waitUntil(t, "b finds a without a seed", func() bool { return b.hasMember("a", Alive) })
	startMember(t, Options{Name: "x", MembersFile: file + ".copy"}) // a damaged file must not prevent the start
}

func TestLaterProcessOfSameNameGivesWay(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	first := startMember(t, Options{Name: "twin", Seeds: []string{a.Addr()}})
	waitUntil(t, "a sees the first process", func() bool { return a.hasMember("twin", Alive) })
	time.Sleep(5 * time.Millisecond) // so that its start time, in milliseconds, is later
	second := startMember(t, Options{Name: "twin", Seeds: []string{a.Addr()}})
	waitUntil(t, "the second process sees the conflict", func() bool { return second.Status().NameTakenBy == first.Addr() })
	if first.Status().NameTakenBy != "" {
		t.Error("the first process gives way too")
	}
	time.Sleep(2 * tickInterval) // for messages in flight
	ticks, received := second.module.counts()
	time.Sleep(5 * tickInterval)
	if ticksNow, receivedNow := second.module.counts(); ticksNow != ticks || receivedNow != received {
		t.Error("the second process still ticks or receives")
	}
	first.stop()
	waitUntil(t, "the name is free again", func() bool { return second.Status().NameTakenBy == "" && a.hasMember("twin", Alive) })
}

func TestKeyRotationOneMemberAtATime(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	b := startMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b see each other", func() bool { return a.module.senderCount() == 1 && b.module.senderCount() == 1 })
	for _, keys := range [][][]byte{{keyA, keyB}, {keyB, keyA}, {keyB}} { // added, then used for encryption, then the only one
		if err := b.SetKeys(keys); err != nil {
			t.Fatal(err)
		}
		if len(keys) == 1 {
			break
		}
		if err := a.SetKeys(keys[:2]); err != nil {
			t.Fatal(err)
		}
		before := a.module.receivedFrom("b")
		waitUntil(t, "a receives messages of b", func() bool { return a.module.receivedFrom("b") > before+3 })
	}
	fromB, fromA := a.module.receivedFrom("b"), b.module.receivedFrom("a") // a encrypts with keyB already, and decrypts with both
	waitUntil(t, "a and b still receive messages of each other", func() bool { return a.module.receivedFrom("b") > fromB+3 && b.module.receivedFrom("a") > fromA+3 })
	outsider := startMember(t, Options{Name: "s", Seeds: []string{b.Addr()}, Keys: [][]byte{keyA}})
	time.Sleep(time.Second)
	if outsider.module.senderCount() > 0 || b.hasMember("s", Alive) {
		t.Error("a process without the key is a member")
	}
}

// receivedFrom returns how many messages of a member were received.
func (m *recordingModule) receivedFrom(from string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received[from]
}

func TestGarbageIsIgnored(t *testing.T) {
	a := startMember(t, Options{Name: "a"})
	b := startMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b see each other", func() bool { return a.module.senderCount() == 1 })
	rng := rand.New(rand.NewPCG(1, 2))
	u, err := net.Dial("udp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	for k := range 2000 {
		garbage := make([]byte, rng.IntN(2000))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		if k%100 == 0 {
			garbage = make([]byte, 60_000) // close to the largest datagram
		}
		u.Write(garbage)
	}
	var connections sync.WaitGroup
	for n := range 20 {
		connections.Go(func() {
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
				t.Errorf("connection of kind %d is not closed", n%4)
			}
			c.Close()
		})
	}
	connections.Wait()
	before := a.module.receivedFrom("b")
	waitUntil(t, "a still receives messages of b", func() bool { return a.module.receivedFrom("b") > before+3 })
	if !b.hasMember("a", Alive) || len(a.Members()) != 2 {
		t.Errorf("%+v", a.Members())
	}
}

func TestStreamsAreOrderedAndSlowPeerEndsStream(t *testing.T) {
	var mu sync.Mutex
	var got []string
	released := make(chan struct{})
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
			case <-released:
			case <-ctx.Done():
			}
		},
	}
	defer close(released)
	a := startMember(t, Options{Name: "a", Handlers: handlers})
	b := startMember(t, Options{Name: "b", Seeds: []string{a.Addr()}})
	waitUntil(t, "a and b see each other", func() bool { return b.hasMember("a", Alive) })
	slow, ordered := b.OpenOrdered("a", "slow"), b.OpenOrdered("a", "take")
	big := make([]byte, MaxMessageSize)
	var err error
	for range 10_000 { // Put never blocks, and the stream ends
		if err = slow.Put(big); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrSlowPeer) {
		t.Errorf("slow stream: got error %v, want ErrSlowPeer", err)
	}
	for n := range 500 {
		if err := ordered.Put(fmt.Append(nil, n)); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "all messages have arrived", func() bool { mu.Lock(); defer mu.Unlock(); return len(got) == 500 })
	for n, s := range got {
		if s != fmt.Sprint("b", n) {
			t.Fatalf("message %d is %q", n, s)
		}
	}
	if _, err := b.Open(t.Context(), "nobody", "take"); !errors.Is(err, ErrNoMember) {
		t.Errorf("%v", err)
	}
	a.stop()
	waitUntil(t, "the stream has ended", func() bool { return ordered.Put(nil) != nil })
}

// Messages that a process reads just after a pause may be old, so justResumed must recognize a pause.
func TestJustResumed(t *testing.T) {
	p, err := New(Options{Name: "a", Listen: "127.0.0.1:0", Keys: [][]byte{keyA}, Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer p.transport.Shutdown()
	now := time.Now()
	for _, c := range []struct {
		lastTickAt, resumedAt time.Time
		want                  bool
	}{{now, now.Add(-time.Minute), false}, {now.Add(-2 * maxMessageAge), now.Add(-time.Minute), true}, {now, now, true}} {
		p.lastTickAt.Store(c.lastTickAt.UnixNano())
		p.resumedAt.Store(c.resumedAt.UnixNano())
		if p.justResumed() != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// A connection is closed when its first record is altered or has an invalid size.
func TestInvalidRecordsEndConnection(t *testing.T) {
	a := startMember(t, Options{Name: "a", Handlers: map[string]Handler{}})
	for _, tamper := range []func(b []byte){func(b []byte) { b[len(b)-1] ^= 1 }, func(b []byte) { b[0] = 0xff }} {
		c, err := net.Dial("tcp", a.Addr())
		if err != nil {
			t.Fatal(err)
		}
		s, err := seal(c, a.keyring, true)
		if err != nil {
			t.Fatal(err)
		}
		s.Conn = &tamperingConn{c, tamper}
		writeText(s, "b")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("altered record: connection not closed: %v", err)
		}
		c.Close()
	}
}

// tamperingConn alters what is written to it.
type tamperingConn struct {
	net.Conn
	tamper func([]byte)
}

func (s *tamperingConn) Write(b []byte) (int, error) {
	s.tamper(b)
	return s.Conn.Write(b)
}

// BenchmarkOrdered measures how fast messages of 200 bytes are sent over an encrypted stream between two members.
func BenchmarkOrdered(b *testing.B) {
	newKeyring := func() *memberlist.Keyring {
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
		var firstByte [1]byte
		c.Read(firstByte[:])
		s, err := seal(c, newKeyring(), false)
		if err != nil {
			return
		}
		ses, err := newSession(s, false, slog.New(slog.DiscardHandler))
		if err != nil {
			return
		}
		stream, err := ses.Accept()
		for err == nil {
			_, err = ReadMessage(stream)
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	s, err := seal(c, newKeyring(), true)
	if err != nil {
		b.Fatal(err)
	}
	ses, err := newSession(s, true, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	defer ses.Close()
	stream, err := ses.Open()
	if err != nil {
		b.Fatal(err)
	}
	msg := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if err := WriteMessage(stream, msg); err != nil {
			b.Fatal(err)
		}
	}
}
