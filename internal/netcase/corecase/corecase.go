// Package corecase is the helper of the fronts' tests that need the core: a running Exchange whose goroutine and clock the
// test holds, between a front and servers that only note what they get.
package corecase

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/exchange"
	"masthill/internal/netcase"
)

// smallMemory makes an instance whose inbox is full with one event, so that a front's reader waits behind it.
const smallMemory = 256 << 10

// pastWaits is longer than all that the core may wait for between two attempts, in the settings of Core.
const pastWaits = 2 * time.Second

// Core is a running Exchange.
type Core struct {
	*exchange.Exchange
	t       *testing.T
	ahead   atomic.Int64 // of the clock
	mu      sync.Mutex
	invited map[string]int // attempts by call
	fresh   chan exchange.Attempt
	gate    gate
}

// State is one in which a call waits for an attempt.
type State string

// The states in which a call waits for an attempt.
const (
	FirstAttempt State = "first attempt"
	ReleaseWait  State = "release wait"
	HeldByPolicy State = "held by the policy"
	HeldByModule State = "held by a joined module"
)

// States are all of them.
var AllStates = []State{FirstAttempt, ReleaseWait, HeldByPolicy, HeldByModule}

// New runs an Exchange with two servers until the test ends.
func New(t *testing.T) *Core {
	t.Helper()
	c := &Core{t: t, invited: map[string]int{}, fresh: make(chan exchange.Attempt, 100)}
	x, err := exchange.New(exchange.Options{Settings: settings(), Seed: 3, Log: netcase.DiscardLogger(), MemoryBytes: smallMemory,
		Now: func() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }, Join: join.Chain{&c.gate}})
	if err != nil {
		t.Fatal(err)
	}
	c.Exchange = x
	x.SetOffices(c)
	var list []exchange.Office
	for cell, id := range []uint64{10, 11} {
		list = append(list, exchange.Office{Addr: "a:1", Entry: control.Entry{Server: id, Cell: cell, Share: 1, State: control.Serving}})
	}
	x.UpdateOffices(list, true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

func settings() control.Settings {
	return control.Settings{GroupSize: 4, ThisNode: -1, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: int64(2 * time.Second),
		Fields: []string{"spare", "total"}, Resolution: int64(5 * time.Millisecond), ClearWait: int64(300 * time.Millisecond),
		DrainGrace: int64(time.Second), FallMultiple: 2, FallWindow: int64(time.Second), ColdFrom: 0.3,
		ColdSpan: int64(15 * time.Second), Classes: []control.Class{{Aim: int64(1200 * time.Millisecond), Deadline: int64(9 * time.Second),
			Worth: 1, LateValue: 0.25, Cells: []int{0, 1}}}}
}

// Enter brings a call into a state; send has its client send the set-up. For First nothing is sent yet.
func (c *Core) Enter(state State, send func()) {
	c.t.Helper()
	c.gate.shut.Store(state == HeldByModule)
	switch state {
	case FirstAttempt:
	case HeldByModule:
		send()
		c.until(func() bool { return c.Status().HeldByModules == 1 })
	default:
		send()
		outcome := map[State]control.Outcome{ReleaseWait: control.ConnectionLost, HeldByPolicy: control.Saturated}[state]
		c.until(func() bool {
			select {
			case a := <-c.fresh:
				c.Ended(a.Server, a.ID, a.Index, exchange.Result{Outcome: outcome})
			default:
			}
			return c.Status().Held == 1
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.invited)
}

// Busy keeps the core's goroutine busy until the function that it gives is called; by then all that a call waits for is
// over.
func (c *Core) Block() (free func()) {
	busy, goOn := make(chan bool), make(chan bool)
	go c.Look(func() { close(busy); <-goOn })
	<-busy
	return func() {
		c.gate.shut.Store(false)
		c.ahead.Add(int64(pastWaits))
		close(goOn)
	}
}

// Settle waits until the core has done all that it had been told and that was due.
func (c *Core) Settle() {
	for range 3 {
		c.Look(func() {})
		c.ahead.Add(int64(pastWaits))
	}
	c.Look(func() {})
}

// Invited tells how many attempts of a call have begun since it entered its state.
func (c *Core) AttemptCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invited[id]
}

// until waits for a condition, for which the machine may take its time.
func (c *Core) until(met func() bool) {
	c.t.Helper()
	WaitUntil(c.t, met)
}

// Until waits for a condition, for which the machine may take its time.
func WaitUntil(t *testing.T, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it never came to it")
		}
	}
}

// Invite implements exchange.Offices.
func (c *Core) Invite(a exchange.Attempt) {
	c.mu.Lock()
	c.invited[a.ID]++
	c.mu.Unlock()
	c.fresh <- a
}

// List implements exchange.Offices.
func (c *Core) UpdateList([]exchange.Office, bool) {}

// Cancel implements exchange.Offices.
func (c *Core) Cancel(uint64, string, int) {}

// Bye implements exchange.Offices.
func (c *Core) Bye(uint64, string, int, bool) {}

// Suspect implements exchange.Offices.
func (c *Core) ReportSilence(uint64, time.Time, bool) {}

// gate is a joined module that holds calls while it is shut.
type gate struct{ shut atomic.Bool }

func (g *gate) Name() string                         { return "gate" }
func (g *gate) OnEvent(int64, control.Event)         {}
func (g *gate) OnAction(int64, control.Action)       {}
func (g *gate) HasRoom(int64, uint64) (bool, string) { return true, "" }
func (g *gate) Status(int64) join.Status             { return join.Status{Module: "gate"} }
func (g *gate) Admit(int64, join.Call) join.Decision {
	if g.shut.Load() {
		return join.Decision{Verdict: join.Hold, Wait: int64(5 * time.Millisecond), Reason: "shut"}
	}
	return join.Decision{}
}
