// Package corecase helps tests of fronts that need a real exchange. It runs an Exchange whose goroutine the test can
// block and whose clock it can advance, with servers that only record their attempts.
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

// inboxMemory is so little memory that one event fills the inbox, and a front's reader has to wait.
const inboxMemory = 256 << 10

// beyondAllWaits is longer than every wait between two attempts of a call with the settings of a Core.
const beyondAllWaits = 2 * time.Second

// Core is a running Exchange, and the Offices that it sends attempts to.
type Core struct {
	*exchange.Exchange
	t           *testing.T
	clockOffset atomic.Int64 // nanoseconds that the exchange's clock is ahead of real time
	mu          sync.Mutex
	attempts    map[string]int // number of attempts by call
	newAttempts chan exchange.Attempt
	module      holdModule
}

// State is a state in which a call waits for an attempt.
type State string

// The states in which a call can wait for an attempt.
const (
	FirstAttempt State = "first attempt"
	ReleaseWait  State = "release wait"
	HeldByPolicy State = "held by the policy"
	HeldByModule State = "held by a joined module"
)

// AllStates lists all states.
var AllStates = []State{FirstAttempt, ReleaseWait, HeldByPolicy, HeldByModule}

// New starts an Exchange with two servers, which runs until the test ends.
func New(t *testing.T) *Core {
	t.Helper()
	c := &Core{t: t, attempts: map[string]int{}, newAttempts: make(chan exchange.Attempt, 100)}
	x, err := exchange.New(exchange.Options{Settings: settings(), Seed: 3, Log: netcase.DiscardLogger(), MemoryBytes: inboxMemory,
		Now: func() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }, Join: join.Chain{&c.module}})
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

// settings returns control settings with one class of calls, which may go to both servers of New.
func settings() control.Settings {
	return control.Settings{GroupSize: 4, OwnCell: -1, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: int64(2 * time.Second),
		ReportFields: []string{"spare", "total"}, Resolution: int64(5 * time.Millisecond), ReleaseWait: int64(300 * time.Millisecond),
		DrainGrace: int64(time.Second), CrashMultiple: 2, CrashWindow: int64(time.Second), ColdFraction: 0.3,
		WarmUpTime: int64(15 * time.Second), Classes: []control.Class{{TargetDelay: int64(1200 * time.Millisecond), Deadline: int64(9 * time.Second),
			Value: 1, LateValue: 0.25, Cells: []int{0, 1}}}}
}

// Enter brings a call into a state; send has its client send the set-up. For FirstAttempt it does not call send: the
// set-up is to be sent once the exchange is blocked.
func (c *Core) Enter(state State, send func()) {
	c.t.Helper()
	c.module.holding.Store(state == HeldByModule)
	switch state {
	case FirstAttempt:
	case HeldByModule:
		send()
		c.waitUntil(func() bool { return c.Status().HeldByModules == 1 })
	default:
		send()
		outcome := map[State]control.Outcome{ReleaseWait: control.ConnectionLost, HeldByPolicy: control.Saturated}[state]
		c.waitUntil(func() bool {
			select {
			case a := <-c.newAttempts:
				c.Ended(a.Server, a.ID, a.Index, exchange.Result{Outcome: outcome})
			default:
			}
			return c.Status().Held == 1
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.attempts)
}

// Block blocks the goroutine of the exchange until the returned function is called. That also ends everything that a
// call may wait for: the module holds it no longer, and the clock advances beyond all waits.
func (c *Core) Block() (unblock func()) {
	blocked, resume := make(chan bool), make(chan bool)
	go c.Inspect(func() { close(blocked); <-resume })
	<-blocked
	return func() {
		c.module.holding.Store(false)
		c.clockOffset.Add(int64(beyondAllWaits))
		close(resume)
	}
}

// Settle waits until the exchange has handled all events received so far and all that is due, also within the next few
// seconds of its clock.
func (c *Core) Settle() {
	for range 3 {
		c.Inspect(func() {})
		c.clockOffset.Add(int64(beyondAllWaits))
	}
	c.Inspect(func() {})
}

// AttemptCount returns the number of attempts of a call that have been started since Enter brought it into its state.
func (c *Core) AttemptCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// waitUntil is WaitUntil for the test of this Core.
func (c *Core) waitUntil(met func() bool) {
	c.t.Helper()
	WaitUntil(c.t, met)
}

// WaitUntil waits until a condition is met, and fails the test after 20 s, which leaves time for a slow machine.
func WaitUntil(t *testing.T, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 20 s")
		}
	}
}

// Invite implements exchange.Offices.
func (c *Core) Invite(a exchange.Attempt) {
	c.mu.Lock()
	c.attempts[a.ID]++
	c.mu.Unlock()
	c.newAttempts <- a
}

// UpdateList implements exchange.Offices.
func (c *Core) UpdateList([]exchange.Office, bool) {}

// Cancel implements exchange.Offices.
func (c *Core) Cancel(uint64, string, int) {}

// Bye implements exchange.Offices.
func (c *Core) Bye(uint64, string, int, bool) {}

// ReportSilence implements exchange.Offices.
func (c *Core) ReportSilence(uint64, time.Time, bool) {}

// holdModule is a joined module that holds all calls while holding is true.
type holdModule struct{ holding atomic.Bool }

func (g *holdModule) Name() string                             { return "gate" }
func (g *holdModule) OnEvent(int64, control.Event)             {}
func (g *holdModule) OnAction(int64, control.Action)           {}
func (g *holdModule) HasCapacity(int64, uint64) (bool, string) { return true, "" }
func (g *holdModule) Status(int64) join.Status                 { return join.Status{Module: "gate"} }
func (g *holdModule) Admit(int64, join.Call) join.Decision {
	if g.holding.Load() {
		return join.Decision{Kind: join.Hold, Wait: int64(5 * time.Millisecond), Reason: "shut"}
	}
	return join.Decision{}
}
