// Package exchange is the core: the one place where callers' and offices' sides meet. It keeps the call table,
// the attempts and the timers round the decision module, and enforces what no decision may break: one final
// answer a call, one attempt out at a time, the release wait, and a release after a call has ended. It knows
// no wire; callers and offices are interfaces.
package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"masthill/control"
	"masthill/control/join"
)

const (
	// inboxShare and inboxBytesEach bound the events that wait for the core, over which the sides' readers wait in turn:
	// a part of the instance's memory, if each holds the longest message. The core takes some hundred thousand a
	// second, so this is some milliseconds' work.
	inboxShare, inboxBytesEach = 16, 16 << 10
	// answerLead is how long before its caller leaves the core looks at a call as over: the answer has to be
	// written and read whole before that, on a core that other instances share.
	answerLead = 25 * time.Millisecond
)

// Options is what an Exchange is made from.
type Options struct {
	Settings    control.Settings
	Seed        uint64
	Now         func() time.Time
	Log         *slog.Logger
	MemoryBytes int          // bytes that the instance may hold; 0: those of the largest
	Record      func(Record) // called by the core, must not block; nil: no store
	// Stray takes the release of a call that this process never had: one from before its restart, whose
	// caller still holds it. Called by the core, must not block.
	OnUnknownRelease func(id string, cut bool)
	// Join are the decision modules that take part beside control, in the order in which they are asked.
	Join join.Chain
}

// Exchange runs the core. Its methods may be called from any goroutine, also from within the core's calls.
type Exchange struct {
	core  *core
	mu    sync.Mutex
	room  *sync.Cond
	inbox []func()
	most  int // of the inbox, for those who can wait
	wake  chan struct{}
	over  bool          // Run has ended: events go nowhere
	done  chan struct{} // closed then
}

// New makes an exchange; Run starts it. The offices' side is set by Connect, as the two need each other.
func New(o Options) (*Exchange, error) {
	told := o.Settings
	told.ClearWait += releaseMargin
	module, err := control.New(told, o.Seed)
	if err != nil {
		return nil, err
	}
	if names, twice := o.Join.Names(); twice {
		return nil, fmt.Errorf("modules named twice: %v", names)
	}
	x := &Exchange{wake: make(chan struct{}, 1), done: make(chan struct{})}
	x.room = sync.NewCond(&x.mu)
	x.core = newCore(o, module)
	x.most = x.core.most / inboxShare / inboxBytesEach
	return x, nil
}

// Connect names the offices' side. To be called once, before Run.
func (x *Exchange) SetOffices(o Offices) { x.core.offices = o }

// post hands the core an event. Readers wait while the inbox is full; what the core itself causes must not.
func (x *Exchange) post(wait bool, f func()) {
	x.mu.Lock()
	for wait && len(x.inbox) >= x.most && !x.over {
		x.room.Wait()
	}
	if !x.over {
		x.inbox = append(x.inbox, f)
	}
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run takes events in order until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer x.close()
	var batch []func()
	for {
		x.mu.Lock()
		batch, x.inbox = x.inbox, batch[:0]
		x.room.Broadcast()
		x.mu.Unlock()
		for k, f := range batch {
			x.core.tick()
			f()
			batch[k] = nil
		}
		x.core.tick()
		if len(batch) > 0 {
			continue
		}
		timer.Reset(x.core.rest())
		select {
		case <-ctx.Done():
			return nil
		case <-x.wake:
		case <-timer.C:
		}
	}
}

// Drive does all that is due and comes back with the time to the next alarm. It takes the place of Run for whoever has
// a clock of its own, such as a model: every event that is handed in is to be followed by it.
func (x *Exchange) RunDue() time.Duration {
	for {
		x.core.tick()
		x.mu.Lock()
		batch := x.inbox
		x.inbox = nil
		x.mu.Unlock()
		if len(batch) == 0 {
			return x.core.rest()
		}
		for _, f := range batch {
			f()
		}
	}
}

// Peek is Status for whoever drives the exchange.
func (x *Exchange) StatusDirect() Status { return x.core.status() }

// RefuseAllNow is RefuseAll for whoever drives the exchange.
func (x *Exchange) RefuseAllDirect() { x.core.refuseAll() }

// close lets go of all who wait for the core.
func (x *Exchange) close() {
	x.mu.Lock()
	x.over, x.inbox = true, nil
	x.room.Broadcast()
	x.mu.Unlock()
	close(x.done)
}

// Arrive hands over a set-up. A set-up that the owner sent before joins the running call or gets the recorded
// answer.
func (x *Exchange) Submit(s Setup, from Caller) { x.post(true, func() { x.core.arrive(s, from) }) }

// GiveUp tells that a caller no longer waits. With a caller given, only if the call is still that caller's
// (it may have been joined from elsewhere). It never blocks, so that a side may call it under its lock: the id
// may come again at once, and that must not overtake this.
func (x *Exchange) GiveUp(id, owner string, from Caller) {
	x.post(false, func() { x.core.giveUp(id, owner, from) })
}

// Left tells that a caller is away and may come back. It never blocks, as GiveUp.
func (x *Exchange) CallerDisconnected(id, owner string) {
	x.post(false, func() { x.core.left(id, owner) })
}

// HangUp tells that a caller ended its standing call.
func (x *Exchange) HangUp(id, owner string) { x.post(true, func() { x.core.hangUp(id, owner) }) }

// Stood tells that an office took attempt n of a call.
func (x *Exchange) Accepted(server uint64, id string, n int, desc []byte) {
	x.post(true, func() { x.core.stood(server, id, n, desc) })
}

// Ended tells that attempt n of a call ended before it stood. It never blocks: the core may have caused it.
func (x *Exchange) Ended(server uint64, id string, n int, e Result) {
	x.post(false, func() { x.core.ended(server, id, n, e) })
}

// Released tells that an office released a call that stood.
func (x *Exchange) Released(server uint64, id string, cut bool, report []float64) {
	x.post(true, func() { x.core.released(server, id, cut, report) })
}

// State tells an office's report that came unasked.
func (x *Exchange) State(server uint64, report []float64) {
	x.post(true, func() { x.core.state(server, report) })
}

// Lost tells that an office's process died: all that stood there is cut.
func (x *Exchange) ServerLost(server uint64) {
	x.post(false, func() { x.core.lost(server, x.core.now+1) })
}

// Members tells a change of the list of offices. It never blocks: what is known at the start comes before Run.
func (x *Exchange) UpdateOffices(changed []Office, full bool) {
	x.post(false, func() { x.core.members(changed, full) })
}

// Open tells how many calls still wait for their answer.
func (x *Exchange) UnansweredCalls() (n int) {
	x.ask(func() { n = x.core.open })
	return n
}

// Restore has the module take up what the process before had learnt. To be called after what is known at the start has
// been told, and before Run. What is unfit is logged and left out.
func (x *Exchange) Restore(l control.Learnt) {
	x.post(false, func() {
		if err := x.core.module.Restore(x.core.now, l); err != nil {
			x.core.log.Warn("snapshot left out", "why", err)
		}
	})
}

// Learnt gives what the module has learnt, also after Run's end.
func (x *Exchange) Learnt() (l control.Learnt) {
	got := false
	x.ask(func() { l, got = x.core.module.Learnt(), true })
	if !got { // the core has ended; nothing changes it any more
		l = x.core.module.Learnt()
	}
	return l
}

// Gauge brings joined modules a reading of the instance itself. It never blocks.
func (x *Exchange) Gauge(name string, used float64) {
	x.post(false, func() { x.core.chain.Gauge(x.core.now, name, used) })
}

// Offer has the core run something of a module's when it comes to it, and does not wait. It is for what other instances
// say: while the inbox is half full or more, the core has callers and offices to hear, and it is not taken.
func (x *Exchange) TryRun(f func(now int64)) bool {
	x.mu.Lock()
	room := len(x.inbox) < x.most/2 && !x.over
	x.mu.Unlock()
	if room {
		x.post(false, func() { f(x.core.now) })
	}
	return room
}

// Look runs f where the core's state may be looked at, and waits for it; it runs nothing after the core's end.
func (x *Exchange) Look(f func()) { x.ask(f) }

// InboxUsed is the part of the inbox's bound that is used now.
func (x *Exchange) InboxUsed() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return float64(len(x.inbox)) / float64(max(x.most, 1))
}

// RefuseAll answers all that still waits, for an end that can't wait longer, and from then on refuses what comes.
func (x *Exchange) RefuseAll() { x.ask(x.core.refuseAll) }

// ask has the core do something and waits for it, or for the core's end.
func (x *Exchange) ask(f func()) {
	done := make(chan struct{})
	x.post(false, func() { f(); close(done) })
	select {
	case <-done:
	case <-x.done:
	}
}
