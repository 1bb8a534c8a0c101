package exchange

import (
	"testing"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/netcase"
)

// moduleStub is a joined module with settable decisions.
type moduleStub struct {
	name     string
	decision join.Decision
	full     map[uint64]bool
	events   []control.EventKind
	actions  []control.ActionKind
}

func (g *moduleStub) Name() string                                 { return g.name }
func (g *moduleStub) OnEvent(_ int64, ev control.Event)            { g.events = append(g.events, ev.Kind) }
func (g *moduleStub) OnAction(_ int64, a control.Action)           { g.actions = append(g.actions, a.Kind) }
func (g *moduleStub) Admit(int64, join.Call) join.Decision         { return g.decision }
func (g *moduleStub) HasCapacity(_ int64, s uint64) (bool, string) { return !g.full[s], "shut" }
func (g *moduleStub) Status(int64) join.Status                     { return join.Status{Module: g.name} }

func newHarnessWithModule(t *testing.T) (*harness, *moduleStub) {
	g := &moduleStub{name: "gate", full: map[uint64]bool{}}
	b := newHarness(t)
	b.modules = join.Chain{g}
	b.controller.ExcludeServers(func(s uint64) bool { ok, _, _ := b.modules.HasCapacity(b.now, s); return !ok })
	return b, g
}

func TestModuleRefuses(t *testing.T) {
	b, g := newHarnessWithModule(t)
	g.decision = join.Decision{Kind: join.Refuse, Wait: int64(time.Hour), Reason: "r"}
	b.submitCall("a", 3*time.Second)
	b.expect("answer a refused  2000ms") // at once, with the wait limited to the settings' greatest
	if b.unanswered != 0 || len(b.calls) != 0 {
		t.Error("the refused call is kept")
	}
	b.submitCall("a", 3*time.Second)
	b.expect("answer a refused  2000ms") // a repeated set-up gets the recorded answer
}

// The module decides again on a held call. Whatever it decides, package control decides after maxHold at the latest.
func TestHeldCallReachesControl(t *testing.T) {
	b, g := newHarnessWithModule(t)
	g.decision = join.Decision{Kind: join.Hold, Wait: int64(20 * ms), Reason: "r"}
	b.submitCall("a", 3*time.Second)
	b.submitCall("gone", 3*time.Second)
	b.advance(500 * ms)
	b.expect()
	b.giveUp("gone", "o", nil)
	b.advance(400 * ms)
	b.expect()
	b.advance(150 * ms)
	b.expect("invite a 0 at 10")
	if b.heldByModules != 0 {
		t.Errorf("%d calls still held", b.heldByModules)
	}
	g.decision = join.Decision{}
	b.submitCall("b", 3*time.Second)
	b.expect("invite b 0 at 10")
}

func TestHeldCallIsAnsweredInTime(t *testing.T) {
	b, g := newHarnessWithModule(t)
	g.decision = join.Decision{Kind: join.Hold, Wait: int64(time.Minute), Reason: "r"}
	b.submitCall("a", 300*ms)
	b.advance(300 * ms)
	b.expect("answer a failed  0ms")
	if b.heldByModules != 0 || b.unanswered != 0 {
		t.Error("the call is still kept")
	}
}

// A capped server gets no attempt. The controller chooses another server or holds the call, and does not count it as a
// fault.
func TestCappedServerGetsNoAttempt(t *testing.T) {
	b, g := newHarnessWithModule(t)
	g.full[10] = true
	b.submitCall("a", 3*time.Second)
	b.expect("invite a 0 at 11")
	g.full[11] = true
	b.submitCall("b", 3*time.Second)
	b.expect() // held by the controller for its one later attempt
	g.full = nil
	b.advance(700 * ms)
	if len(b.outputs) != 1 || b.outputs[0] != "invite b 0 at 10" && b.outputs[0] != "invite b 0 at 11" {
		t.Error(b.outputs)
	}
	if len(g.actions) != 2 || g.actions[0] != control.Send {
		t.Error(g.actions)
	}
}

// A cap that a module sets between the controller's choice and the send is still obeyed.
func TestCapIsCheckedBeforeSend(t *testing.T) {
	b, g := newHarnessWithModule(t)
	b.controller.ExcludeServers(func(uint64) bool { return false })
	g.full[10], g.full[11] = true, true
	b.submitCall("a", 3*time.Second)
	if len(b.outputs) != 1 || b.outputs[0] != "answer a refused  200ms" {
		t.Errorf("%q", b.outputs)
	}
}

func TestDuplicateModuleNames(t *testing.T) {
	_, err := New(Options{Settings: settings(), Now: time.Now, Log: netcase.DiscardLogger(), Join: join.Chain{&moduleStub{name: "a"}, &moduleStub{name: "a"}}})
	if err == nil {
		t.Error("two modules with the same name were accepted")
	}
}

// TryRun takes nothing while the inbox is half full, and never waits: callers and offices come first.
func TestTryRunLeavesInboxSpace(t *testing.T) {
	x, err := New(Options{Settings: settings(), Now: time.Now, Log: netcase.DiscardLogger(), MemoryBytes: 64 << 20})
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for x.TryRun(func(int64) { taken++ }) { // the core is not running
		if taken++; taken > 1<<20 {
			t.Fatal("no bound on queued functions")
		}
	}
	if most := 64 << 20 / inboxMemoryDivisor / maxEventBytes; taken < most/2 || taken > most/2+1 || x.InboxUsed() > 0.6 {
		t.Errorf("%d taken, of a bound of %d", taken, most)
	}
	done := make(chan struct{})
	go func() { x.HangUp("0000000000000001", "c"); close(done) }() // a front end still finds space and does not wait
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Error("a front end waits behind messages of other instances")
	}
}
