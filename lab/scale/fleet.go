package scale

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/standin"
)

const (
	// startPause is the pause after each start of a member in a group.
	startPause = 5 * time.Millisecond
	// convergeTimeout is how long a fleet may take until all its members know all, by the members' clock, and
	// maxConvergeTimeout by the machine's clock.
	convergeTimeout, maxConvergeTimeout = 90 * time.Second, 4 * time.Minute
	// pollInterval is the pause between two snapshots while waiting for a condition.
	pollInterval = 500 * time.Millisecond
	// firstServer is the number of the first server on the list.
	firstServer = 0x1000
)

// Layout describes a fleet of hollow members and how they are divided into processes.
type Layout struct {
	Spec
	Groups  [][]int  // numbers of the members of each group
	Command []string // the program that serves a group, with its arguments; empty: all groups run in this process
}

// Fleet is a running fleet.
type Fleet struct {
	Layout      // read only, as the members of groups in this process read its Spec
	ctx         context.Context
	work        *errgroup.Group
	stop        context.CancelFunc
	reservation net.Listener
	list        *standin.ListService
	mu          sync.Mutex
	groups      []runner
	killed      map[int]bool // by group
	realMembers []*realProcess
	claims      []Claim
	killedAt    map[string]int64 // by name of the member, by the members' clock
	callRate    float64          // synthetic calls per second of each hollow member
}

// SplitEvenly divides the members from..to-1 into groups of size each; the last may be smaller.
func SplitEvenly(from, to, each int) (all [][]int) {
	for k := from; k < to; k++ {
		if n := len(all); n == 0 || len(all[n-1]) >= each {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], k)
	}
	return all
}

// reserveNetwork finds a loopback network that no other run uses. It is reserved until the listener is closed.
func reserveNetwork(seed uint64) (at string, reservation net.Listener, err error) {
	for n := range uint64(100) {
		at = fmt.Sprintf("127.%d", 130+(seed+n*7)%100)
		if reservation, err = net.Listen("tcp", at+".255.1:2908"); err == nil {
			return at, reservation, nil
		}
	}
	return "", nil, err
}

// NewFleet starts the discovery service and the processes of the groups, but no members.
func NewFleet(ctx context.Context, l Layout) (*Fleet, error) {
	at, reservation, err := reserveNetwork(l.Seed)
	if err != nil {
		return nil, err
	}
	l.Network, l.ClockOrigin = at, time.Now().UnixNano()
	var entries []standin.Entry
	for k := range l.Servers {
		entries = append(entries, serverEntry(k, time.Time{}))
	}
	list, err := standin.NewListService(entries, nil)
	if err != nil {
		reservation.Close()
		return nil, err
	}
	l.DiscoveryAddr, l.InitialList = list.Addr(), list.KnownList()
	ctx, stop := context.WithCancel(ctx)
	work, ctx := errgroup.WithContext(ctx)
	f := &Fleet{
		Layout:      l,
		ctx:         ctx,
		work:        work,
		stop:        stop,
		reservation: reservation,
		list:        list,
		killed:      map[int]bool{},
		killedAt:    map[string]int64{},
		callRate:    l.SyntheticCalls,
	}
	work.Go(func() error { return list.Run(ctx) })
	for range l.Groups {
		group, err := f.newRunner()
		if err != nil {
			f.Close()
			return nil, err
		}
		f.groups = append(f.groups, group)
	}
	return f, nil
}

func (f *Fleet) newRunner() (runner, error) {
	if len(f.Command) == 0 {
		return newLocal(f.ctx, &f.Spec), nil
	}
	return newRemote(f.ctx, &f.Spec, f.Command)
}

// serverEntry makes the list entry of a server. Nobody connects to it, as hollow members have no real calls.
func serverEntry(k int, started time.Time) standin.Entry {
	e := standin.Entry{ID: fmt.Sprintf("s-%08x", firstServer+k), Addr: "127.0.0.1:9", Cell: k, State: "SERVING", Weight: 1}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	return e
}

// Start starts all hollow members, the voters first, since they are the seeds of the others.
func (f *Fleet) Start() error {
	first := f.Voters()
	if err := f.forEachGroup(func(k int, r runner) error {
		seeds := slices.DeleteFunc(slices.Clone(f.Groups[k]), func(n int) bool { return !slices.Contains(first, n) })
		_, err := r.do(request{Action: doStart, Members: seeds, Pause: startPause})
		return err
	}); err != nil {
		return err
	}
	return f.forEachGroup(func(k int, r runner) error {
		rest := slices.DeleteFunc(slices.Clone(f.Groups[k]), func(n int) bool { return slices.Contains(first, n) })
		_, err := r.do(request{Action: doStart, Members: rest, Pause: startPause})
		return err
	})
}

// forEachGroup runs do for all groups that were not killed, concurrently.
func (f *Fleet) forEachGroup(do func(k int, r runner) error) error {
	var g errgroup.Group
	f.mu.Lock()
	groups := slices.Clone(f.groups)
	f.mu.Unlock()
	for k, r := range groups {
		if !f.isKilled(k) {
			g.Go(func() error { return do(k, r) })
		}
	}
	return g.Wait()
}

func (f *Fleet) isKilled(k int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed[k]
}

// Snapshot takes snapshots of all groups; those of killed groups are empty.
func (f *Fleet) Snapshot(a SnapshotOptions) ([]Snapshot, error) {
	all := make([]Snapshot, len(f.groups))
	err := f.forEachGroup(func(k int, r runner) error {
		l, err := r.do(request{Action: doSnapshot, Options: a})
		if err == nil {
			all[k] = *l
		}
		return err
	})
	if a.Claims {
		f.mu.Lock()
		for k := range all {
			f.claims = append(f.claims, all[k].Claims...)
		}
		f.mu.Unlock()
	}
	return all, err
}

// waitUntil polls the fleet until a condition holds for all members, and returns how long that took.
func (f *Fleet) waitUntil(condition string, timeout time.Duration, holds func(s MemberStatus) bool) (time.Duration, error) {
	began := time.Now()
	for {
		all, err := f.Snapshot(SnapshotOptions{})
		if err != nil {
			return 0, err
		}
		missing := 0
		for _, l := range all {
			for _, s := range l.Members {
				if !holds(s) {
					missing++
				}
			}
		}
		took := time.Since(began)
		if missing == 0 {
			return took, nil
		}
		if took > timeout {
			return took, fmt.Errorf("%s: not so for %d members after %v", condition, missing, took.Round(time.Second))
		}
		if err := f.sleep(pollInterval); err != nil {
			return took, err
		}
	}
}

// sleep waits for d, or returns the cause when the run is canceled.
func (f *Fleet) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.ctx.Done():
		return context.Cause(f.ctx)
	}
}

// WaitForMembers waits until all hollow members see so many members alive.
func (f *Fleet) WaitForMembers(members int) (time.Duration, error) {
	timeout := min(time.Duration(float64(convergeTimeout)*f.slowdown()), maxConvergeTimeout)
	return f.waitUntil(fmt.Sprintf("all %d members are known", members), timeout, func(s MemberStatus) bool { return s.Alive == members })
}

// setCallRate sets the synthetic calls per second of each hollow member.
func (f *Fleet) setCallRate(rate float64) error {
	f.callRate = rate
	return f.forEachGroup(func(_ int, r runner) error {
		_, err := r.do(request{Action: doSetCallRate, Calls: rate})
		return err
	})
}

// remaining is the number of members that have not been killed.
func (f *Fleet) remaining() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Size - len(f.killedAt)
}

// Kill kills a group's process.
func (f *Fleet) Kill(k int) {
	f.mu.Lock()
	f.killed[k] = true
	for _, n := range f.Groups[k] {
		f.killedAt[f.Name(n)] = f.memberTime(time.Now()).UnixNano()
	}
	f.mu.Unlock()
	f.groups[k].kill()
}

// Close stops all members, processes and services of the fleet.
func (f *Fleet) Close() {
	for _, r := range f.realMembers {
		r.Stop(true)
	}
	f.forEachGroup(func(_ int, r runner) error { r.close(); return nil })
	f.stop()
	f.work.Wait()
	f.reservation.Close()
}
