package exchange

import (
	"testing"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/netcase"
)

// gate is a joined module that does what a test wants.
type gate struct {
	name   string
	ruling join.Decision
	shut   map[uint64]bool
	seen   []control.EventKind
	did    []control.ActionKind
}

func (g *gate) Name() string                             { return g.name }
func (g *gate) OnEvent(_ int64, ev control.Event)        { g.seen = append(g.seen, ev.Kind) }
func (g *gate) OnAction(_ int64, a control.Action)       { g.did = append(g.did, a.Kind) }
func (g *gate) Admit(int64, join.Call) join.Decision     { return g.ruling }
func (g *gate) HasRoom(_ int64, s uint64) (bool, string) { return !g.shut[s], "shut" }
func (g *gate) Status(int64) join.Status                 { return join.Status{Module: g.name} }

func newGate(t *testing.T) (*bed, *gate) {
	g := &gate{name: "gate", shut: map[uint64]bool{}}
	b := newBed(t)
	b.chain = join.Chain{g}
	b.module.ExcludeServers(func(s uint64) bool { ok, _, _ := b.chain.HasRoom(b.now, s); return !ok })
	return b, g
}

func TestAJoinedModuleRefuses(t *testing.T) {
	b, g := newGate(t)
	g.ruling = join.Decision{Verdict: join.Refuse, Wait: int64(time.Hour), Reason: "r"}
	b.call("a", 3*time.Second)
	b.want("answer a refused  2000ms") // at once, and no longer a wait than the settings allow
	if b.open != 0 || len(b.calls) != 0 {
		t.Error("the refused call is kept")
	}
	b.call("a", 3*time.Second)
	b.want("answer a refused  2000ms") // on record: sent again it is the same answer
}

// A held call is asked about again; whatever the module says, control decides after a second at the latest.
func TestAHeldCallIsControlsInTheEnd(t *testing.T) {
	b, g := newGate(t)
	g.ruling = join.Decision{Verdict: join.Hold, Wait: int64(20 * ms), Reason: "r"}
	b.call("a", 3*time.Second)
	b.call("gone", 3*time.Second)
	b.pass(500 * ms)
	b.want()
	b.giveUp("gone", "o", nil)
	b.pass(400 * ms)
	b.want()
	b.pass(150 * ms)
	b.want("invite a 0 at 10")
	if b.waits != 0 {
		t.Errorf("%d calls held still", b.waits)
	}
	g.ruling = join.Decision{}
	b.call("b", 3*time.Second)
	b.want("invite b 0 at 10")
}

func TestAHeldCallStillHasItsAnswerInTime(t *testing.T) {
	b, g := newGate(t)
	g.ruling = join.Decision{Verdict: join.Hold, Wait: int64(time.Minute), Reason: "r"}
	b.call("a", 300*ms)
	b.pass(300 * ms)
	b.want("answer a failed  0ms")
	if b.waits != 0 || b.open != 0 {
		t.Error("it is kept still")
	}
}

// A server without room gets nothing; control sends elsewhere, or holds, and never learns of it as a fault.
func TestACappedServerGetsNothing(t *testing.T) {
	b, g := newGate(t)
	g.shut[10] = true
	b.call("a", 3*time.Second)
	b.want("invite a 0 at 11")
	g.shut[11] = true
	b.call("b", 3*time.Second)
	b.want() // held by control, for its one later try
	g.shut = nil
	b.pass(700 * ms)
	if len(b.said) != 1 || b.said[0] != "invite b 0 at 10" && b.said[0] != "invite b 0 at 11" {
		t.Error(b.said)
	}
	if len(g.did) != 2 || g.did[0] != control.Send {
		t.Error(g.did)
	}
}

// A module that changes its mind between control's choice and the send is still obeyed.
func TestTheCoreGuardsACap(t *testing.T) {
	b, g := newGate(t)
	b.module.ExcludeServers(func(uint64) bool { return false })
	g.shut[10], g.shut[11] = true, true
	b.call("a", 3*time.Second)
	if len(b.said) != 1 || b.said[0] != "answer a refused  200ms" {
		t.Errorf("%q", b.said)
	}
}

func TestModulesHaveNamesOfTheirOwn(t *testing.T) {
	_, err := New(Options{Settings: settings(), Now: time.Now, Log: netcase.Quiet(), Join: join.Chain{&gate{name: "a"}, &gate{name: "a"}}})
	if err == nil {
		t.Error("two modules of one name")
	}
}

// What other instances say waits while the core has much to do, and is never waited for: callers and offices come first.
func TestOffersLeaveRoomForCallers(t *testing.T) {
	x, err := New(Options{Settings: settings(), Now: time.Now, Log: netcase.Quiet(), MemoryBytes: 64 << 20})
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for x.TryRun(func(int64) { taken++ }) { // nobody runs the core
		if taken++; taken > 1<<20 {
			t.Fatal("without a bound")
		}
	}
	if most := 64 << 20 / inboxShare / inboxBytesEach; taken < most/2 || taken > most/2+1 || x.InboxUsed() > 0.6 {
		t.Errorf("%d taken, of a bound of %d", taken, most)
	}
	done := make(chan struct{})
	go func() { x.HangUp("0000000000000001", "c"); close(done) }() // a front still has room, and does not wait
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("a front waits behind what instances say")
	}
}
