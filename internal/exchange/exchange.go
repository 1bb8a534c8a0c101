// Package exchange is the core of an instance. It connects the callers' side with the offices' side, holds the call
// table, the attempts and the timers, and has the controller (package control) decide. It enforces what no
// decision may break: one final answer per call, one attempt in flight at a time, the release wait between attempts, and
// a release after a call has ended. It knows no wire protocol; callers and offices are interfaces.
package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"masthill/control"
	"masthill/control/join"
)

const (
	// inboxMemoryDivisor and maxEventBytes bound the queue of events for the core: 1/16 of the instance's memory if
	// each event holds the longest message. Readers block while it is full. The core handles some hundred thousand
	// events a second, so a full queue is some milliseconds of work.
	inboxMemoryDivisor, maxEventBytes = 16, 16 << 10
	// answerMargin is how long before its caller's deadline the core ends a call: the answer must be written and read
	// in full before the deadline, on a processor core that other instances share.
	answerMargin = 25 * time.Millisecond
	// yieldAfter is how long the core may handle events before it lets others run.
	yieldAfter = time.Millisecond
)

// Options configures an Exchange.
type Options struct {
	Settings    control.Settings
	Seed        uint64
	Now         func() time.Time
	Log         *slog.Logger
	MemoryBytes int          // memory of the instance; 0: that of the largest instance, 192 MiB
	Record      func(Record) // called by the core, must not block; nil: records are dropped
	// OnUnknownRelease is called for the release of a call that this process does not know: one from before its
	// restart, which the caller still holds. It is called by the core and must not block.
	OnUnknownRelease func(id string, cut bool)
	// Join holds the decision modules that take part beside package control, in the order in which they decide.
	Join join.Chain
}

// Exchange runs the core. Its methods may be called from any goroutine; those documented as non-blocking also from the
// methods of Caller and Offices, which the core calls.
type Exchange struct {
	core       *core
	mu         sync.Mutex
	spaceFreed *sync.Cond
	inbox      []func()
	maxInbox   int // length of the inbox from which on blocking posts wait
	wake       chan struct{}
	stopped    bool          // Run has ended and events are discarded
	done       chan struct{} // closed when Run ends
}

// New creates an exchange; Run starts it. SetOffices sets the offices' side, since each of the two needs the other.
func New(o Options) (*Exchange, error) {
	settings := o.Settings
	settings.ReleaseWait += releaseWaitMargin
	controller, err := control.New(settings, o.Seed)
	if err != nil {
		return nil, err
	}
	if names, duplicate := o.Join.Names(); duplicate {
		return nil, fmt.Errorf("duplicate names among the decision modules: %v", names)
	}
	x := &Exchange{wake: make(chan struct{}, 1), done: make(chan struct{})}
	x.spaceFreed = sync.NewCond(&x.mu)
	x.core = newCore(o, controller)
	x.maxInbox = x.core.memoryBytes / inboxMemoryDivisor / maxEventBytes
	return x, nil
}

// SetOffices sets the offices' side. It must be called once, before Run.
func (x *Exchange) SetOffices(o Offices) { x.core.offices = o }

// post queues an event for the core. With wait it blocks while the inbox is full; events that the core itself may cause
// must not wait, or the core would block on itself.
func (x *Exchange) post(wait bool, f func()) {
	x.mu.Lock()
	for wait && len(x.inbox) >= x.maxInbox && !x.stopped {
		x.spaceFreed.Wait()
	}
	if !x.stopped {
		x.inbox = append(x.inbox, f)
	}
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run handles events in order until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer x.close()
	var batch []func()
	for {
		x.mu.Lock()
		batch, x.inbox = x.inbox, batch[:0]
		x.spaceFreed.Broadcast()
		x.mu.Unlock()
		took := x.handle(batch)
		if took >= yieldAfter {
			runtime.Gosched() // or the core and a busy connection keep a processor core to themselves
		}
		if len(batch) > 0 {
			continue
		}
		timer.Reset(x.core.untilNextTimer())
		select {
		case <-ctx.Done():
			return nil
		case <-x.wake:
		case <-timer.C:
		}
	}
}

// handle handles events in order, and the timers that are due, and returns how long that took.
func (x *Exchange) handle(batch []func()) time.Duration {
	x.core.tick()
	began := x.core.now
	for k, f := range batch {
		f()
		batch[k] = nil
		x.core.tick()
	}
	return time.Duration(x.core.now - began)
}

// RunDue handles all queued events and due timers and returns the time until the next timer. It replaces Run where the
// clock is simulated; it must be called after every event that is handed in.
func (x *Exchange) RunDue() time.Duration {
	for {
		x.core.tick()
		x.mu.Lock()
		batch := x.inbox
		x.inbox = nil
		x.mu.Unlock()
		if len(batch) == 0 {
			return x.core.untilNextTimer()
		}
		for _, f := range batch {
			f()
		}
	}
}

// StatusDirect is Status for use with RunDue, from the same goroutine.
func (x *Exchange) StatusDirect() Status { return x.core.status() }

// RefuseAllDirect is RefuseAll for use with RunDue, from the same goroutine.
func (x *Exchange) RefuseAllDirect() { x.core.refuseAll() }

// close discards all events and releases all goroutines that wait for the core.
func (x *Exchange) close() {
	x.mu.Lock()
	x.stopped, x.inbox = true, nil
	x.spaceFreed.Broadcast()
	x.mu.Unlock()
	close(x.done)
}

// Submit hands over a set-up. A repeated set-up of the same owner joins the running call or gets the recorded answer.
func (x *Exchange) Submit(s Setup, caller Caller) { x.post(true, func() { x.core.submit(s, caller) }) }

// GiveUp reports that a caller no longer waits for the answer to its call. If caller is not nil, it has no effect once
// the call has been joined from another Caller. It never blocks, so it may be called under a lock: the same id may be
// submitted again at once, and that must not overtake this event.
func (x *Exchange) GiveUp(id, owner string, caller Caller) {
	x.post(false, func() { x.core.giveUp(id, owner, caller) })
}

// CallerDisconnected reports that a caller has disconnected and may come back. Like GiveUp, it never blocks.
func (x *Exchange) CallerDisconnected(id, owner string) {
	x.post(false, func() { x.core.callerDisconnected(id, owner) })
}

// HangUp reports that a caller ended its established call.
func (x *Exchange) HangUp(id, owner string) { x.post(true, func() { x.core.hangUp(id, owner) }) }

// Accepted reports that an office accepted attempt n of a call.
func (x *Exchange) Accepted(server uint64, id string, n int, description []byte) {
	x.post(true, func() { x.core.attemptEstablished(server, id, n, description) })
}

// Ended reports that attempt n of a call ended without being accepted. It never blocks, as the core may have caused it.
func (x *Exchange) Ended(server uint64, id string, n int, result Result) {
	x.post(false, func() { x.core.attemptEnded(server, id, n, result) })
}

// Released reports that an office released an established call.
func (x *Exchange) Released(server uint64, id string, cut bool, report []float64) {
	x.post(true, func() { x.core.callReleased(server, id, cut, report) })
}

// State hands over a load report that an office sent unasked.
func (x *Exchange) State(server uint64, report []float64) {
	x.post(true, func() { x.core.reportReceived(server, report) })
}

// ServerLost reports that the process of an office died: all calls established there are cut.
func (x *Exchange) ServerLost(server uint64) {
	x.post(false, func() { x.core.officeLost(server, x.core.now+1) })
}

// UpdateOffices hands over a change of the list of offices, or the full list. It never blocks, as the list that is known
// at the start is handed over before Run.
func (x *Exchange) UpdateOffices(changed []Office, full bool) {
	x.post(false, func() { x.core.updateOffices(changed, full) })
}

// UnansweredCalls returns the number of calls without a final answer.
func (x *Exchange) UnansweredCalls() (n int) {
	x.runAndWait(func() { n = x.core.unanswered })
	return n
}

// Restore hands the controller the state that the previous process had saved. It must be called after the list of
// offices that is known at the start has been handed over, and before Run. Invalid state is logged and ignored.
func (x *Exchange) Restore(learned control.LearnedState) {
	x.post(false, func() {
		if err := x.core.controller.Restore(x.core.now, learned); err != nil {
			x.core.log.Warn("snapshot left out", "why", err)
		}
	})
}

// LearnedState returns the state that the controller has learned, also after Run has ended.
func (x *Exchange) LearnedState() (l control.LearnedState) {
	got := false
	x.runAndWait(func() { l, got = x.core.controller.LearnedState(), true })
	if !got { // the core has ended, so nothing changes the state any more
		l = x.core.controller.LearnedState()
	}
	return l
}

// ReportGauge passes a measurement of the instance's own resources to the joined modules. It never blocks.
func (x *Exchange) ReportGauge(name string, used float64) {
	x.post(false, func() { x.core.modules.OnGauge(x.core.now, name, used) })
}

// TryRun queues f to run in the core and does not wait for it; f gets the core's present time. It is meant for messages
// of other instances: to leave space for the events of callers and offices, it queues nothing and returns false while
// the inbox is half full or more.
func (x *Exchange) TryRun(f func(now int64)) bool {
	x.mu.Lock()
	hasSpace := len(x.inbox) < x.maxInbox/2 && !x.stopped
	x.mu.Unlock()
	if hasSpace {
		x.post(false, func() { f(x.core.now) })
	}
	return hasSpace
}

// Inspect runs f in the core, where its state may be read, and waits for it. After the core's end f is not run.
func (x *Exchange) Inspect(f func()) { x.runAndWait(f) }

// InboxUsed returns the used part of the inbox as a fraction of its bound.
func (x *Exchange) InboxUsed() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return float64(len(x.inbox)) / float64(max(x.maxInbox, 1))
}

// RefuseAll refuses all calls that still wait for their answer, and every later one. It is for a shutdown that can't wait
// any longer.
func (x *Exchange) RefuseAll() { x.runAndWait(x.core.refuseAll) }

// runAndWait runs f in the core and waits until it has run or the core has ended.
func (x *Exchange) runAndWait(f func()) {
	done := make(chan struct{})
	x.post(false, func() { f(); close(done) })
	select {
	case <-done:
	case <-x.done:
	}
}
