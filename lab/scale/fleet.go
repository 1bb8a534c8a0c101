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
	// startPause is the pause between two starts in one group.
	startPause = 5 * time.Millisecond
	// meetFor is how long a fleet may take until all its members know of all, by the members' clock, and meetMost by any.
	convergeTimeout, maxConvergeTimeout = 90 * time.Second, 4 * time.Minute
	// lookEvery is the pause between two looks while something is waited for.
	pollInterval = 500 * time.Millisecond
	// listedFirst is the number of the first server on the list.
	firstServer = 0x1000
)

// Layout is a fleet of hollow members and how they are put into processes.
type Layout struct {
	Spec
	Groups  [][]int  // of members' numbers
	Command []string // the program that serves a group, with its arguments; none: all run in this process
}

// Fleet is a fleet that runs.
type Fleet struct {
	Layout
	ctx         context.Context
	work        *errgroup.Group
	stop        context.CancelFunc
	reservation net.Listener
	list        *standin.ListService
	mu          sync.Mutex
	groups      []runner
	killed      map[int]bool // groups that were killed
	realMembers []*realProcess
	claims      []Claim
	killedAt    map[string]int64 // members that were killed: when, by the members' clock
}

// Even puts members from a number on into groups of a size.
func SplitEvenly(from, to, each int) (all [][]int) {
	for k := from; k < to; k++ {
		if n := len(all); n == 0 || len(all[n-1]) >= each {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], k)
	}
	return all
}

// place finds a loopback net that no other run holds. It is this run's until the listener is closed.
func reserveNetwork(seed uint64) (at string, held net.Listener, err error) {
	for n := range uint64(100) {
		at = fmt.Sprintf("127.%d", 130+(seed+n*7)%100)
		if held, err = net.Listen("tcp", at+".255.1:2908"); err == nil {
			return at, held, nil
		}
	}
	return "", nil, err
}

// Begin opens the discovery service and the groups' processes; no member runs yet.
func NewFleet(ctx context.Context, l Layout) (*Fleet, error) {
	at, held, err := reserveNetwork(l.Seed)
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
		held.Close()
		return nil, err
	}
	l.DiscoveryAddr, l.InitialList = list.Addr(), list.KnownList()
	ctx, stop := context.WithCancel(ctx)
	work, ctx := errgroup.WithContext(ctx)
	f := &Fleet{Layout: l, ctx: ctx, work: work, stop: stop, reservation: held, list: list, killed: map[int]bool{}, killedAt: map[string]int64{}}
	work.Go(func() error { return list.Run(ctx) })
	for range l.Groups {
		one, err := f.newRunner()
		if err != nil {
			f.Close()
			return nil, err
		}
		f.groups = append(f.groups, one)
	}
	return f, nil
}

func (f *Fleet) newRunner() (runner, error) {
	if len(f.Command) == 0 {
		return newLocal(f.ctx, &f.Spec), nil
	}
	return newRemote(f.ctx, &f.Spec, f.Command)
}

// entry is a server on the list. Nobody connects to it: hollow members have no calls.
func serverEntry(k int, started time.Time) standin.Entry {
	e := standin.Entry{ID: fmt.Sprintf("s-%08x", firstServer+k), Addr: "127.0.0.1:9", Cell: k, State: "SERVING", Weight: 1}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	return e
}

// Start starts all hollow members: those that the others join by first.
func (f *Fleet) Start() error {
	first := f.Voters()
	if err := f.forEachGroup(func(k int, r runner) error {
		seeds := slices.DeleteFunc(slices.Clone(f.Groups[k]), func(n int) bool { return !slices.Contains(first, n) })
		_, err := r.do(request{Do: doStart, Members: seeds, Pause: startPause})
		return err
	}); err != nil {
		return err
	}
	return f.forEachGroup(func(k int, r runner) error {
		rest := slices.DeleteFunc(slices.Clone(f.Groups[k]), func(n int) bool { return slices.Contains(first, n) })
		_, err := r.do(request{Do: doStart, Members: rest, Pause: startPause})
		return err
	})
}

// each does something with all groups that are alive, at the same time.
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

// Look looks at all groups; those that were killed have empty looks.
func (f *Fleet) Snapshot(a SnapshotOptions) ([]Snapshot, error) {
	all := make([]Snapshot, len(f.groups))
	err := f.forEachGroup(func(k int, r runner) error {
		l, err := r.do(request{Do: doLook, Ask: a})
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

// until looks at the fleet until something holds of all members, and tells how long that took.
func (f *Fleet) waitUntil(what string, most time.Duration, holds func(s MemberStatus) bool) (time.Duration, error) {
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
		if took > most {
			return took, fmt.Errorf("%s: not so for %d members after %v", what, missing, took.Round(time.Second))
		}
		if err := f.sleep(pollInterval); err != nil {
			return took, err
		}
	}
}

// pass waits, and ends early with the run.
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

// Meet waits until all members know of so many.
func (f *Fleet) WaitForMembers(members int) (time.Duration, error) {
	most := min(time.Duration(float64(convergeTimeout)*f.slowdown()), maxConvergeTimeout)
	return f.waitUntil(fmt.Sprintf("all %d members are known", members), most, func(s MemberStatus) bool { return s.Alive == members })
}

// call sets the made-up calls of all hollow members, a second.
func (f *Fleet) setCallRate(rate float64) error {
	f.SyntheticCalls = rate
	return f.forEachGroup(func(_ int, r runner) error {
		_, err := r.do(request{Do: doCall, Calls: rate})
		return err
	})
}

// left is how many members have not been killed.
func (f *Fleet) remaining() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Size - len(f.killedAt)
}

// Kill ends a group's process at once.
func (f *Fleet) Kill(k int) {
	f.mu.Lock()
	f.killed[k] = true
	for _, n := range f.Groups[k] {
		f.killedAt[f.Name(n)] = f.memberTime(time.Now()).UnixNano()
	}
	f.mu.Unlock()
	f.groups[k].kill()
}

// Close ends all that the fleet runs.
func (f *Fleet) Close() {
	for _, r := range f.realMembers {
		r.Stop(true)
	}
	f.forEachGroup(func(_ int, r runner) error { r.close(); return nil })
	f.stop()
	f.work.Wait()
	f.reservation.Close()
}
