package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/internal/ctl"
	"masthill/lab/check"
	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

// RealMembers describes the members that are processes of the program, and their load.
type RealMembers struct {
	Numbers      []int
	Program      string
	Dir          string  // holds a directory for each
	Calls        float64 // real calls per second at each, from simulated callers to simulated servers; 0: none
	Servers      int     // number of simulated servers, if there are calls
	WithoutPeers bool    // they do not communicate, which shows what a process costs without that
}

// realProcess is one process of the program.
type realProcess struct {
	*host.Instance
	number int
	socket string
}

// maxConcurrentStarts is how many processes start at the same time.
const maxConcurrentStarts = 4

// StartRealMembers starts the real members and their load.
func (f *Fleet) StartRealMembers(r RealMembers) error {
	if len(r.Numbers) == 0 {
		return nil
	}
	load, err := f.startStandIns(r)
	if err != nil {
		return err
	}
	var starts errgroup.Group
	starts.SetLimit(maxConcurrentStarts)
	for _, k := range r.Numbers {
		dir := filepath.Join(r.Dir, f.Name(k))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		member := &realProcess{number: k, socket: filepath.Join(dir, "socket"), Instance: &host.Instance{Name: f.Name(k), Dir: dir, Program: r.Program, Config: f.Platform(k)}}
		member.Settings = fmt.Sprintf("[socket]\npath = %q\n", member.socket)
		if !r.WithoutPeers {
			member.Settings += f.Settings(k)
		}
		list := f.list
		if load != nil {
			list = load.lists[k]
			member.Config["journal"] = list.Addr()
		}
		f.realMembers = append(f.realMembers, member)
		starts.Go(func() error {
			addr, err := member.Start(f.ctx, list.KnownList())
			if err == nil && load != nil {
				err = load.crowd.AddInstance(f.ctx, member.Name, addr)
			}
			return err
		})
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	if load != nil {
		f.work.Go(func() error {
			load.crowd.Run(f.ctx, maxCallTime) // until the run ends
			load.crowd.Close()
			return nil
		})
	}
	return nil
}

// maxCallTime limits how long callers place calls.
const maxCallTime = 10 * time.Minute

// standIns are the simulated callers, and a list of simulated servers for each real member.
type standIns struct {
	crowd *standin.CallerPool
	lists map[int]*standin.ListService
}

// loadFraction is the load that callers offer, as a fraction of the simulated servers' planned load.
const loadFraction = 0.7

// startStandIns starts the simulated callers and servers; it returns nil without calls. The servers have the identities of
// the first ones on the fleet's list.
func (f *Fleet) startStandIns(r RealMembers) (*standIns, error) {
	if r.Calls <= 0 {
		return nil, nil
	}
	rate := r.Calls * float64(len(r.Numbers))
	rng := rand.New(rand.NewPCG(f.Seed, 0x7363616c65))
	params := processor.DrawParams(rate/loadFraction, r.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	var names []string
	for _, k := range r.Numbers {
		names = append(names, f.Name(k))
	}
	l := &standIns{lists: map[int]*standin.ListService{}}
	var servers []*standin.Server
	for k := range r.Servers {
		s, err := standin.NewServer(serverEntry(k, time.Time{}).ID, k, params, time.Time{}, 9*time.Second, names, rng.Uint64(), ledger)
		if err != nil {
			return nil, err
		}
		f.work.Go(func() error { return s.Run(f.ctx) })
		servers = append(servers, s)
	}
	l.crowd = standin.NewCallerPool(standin.Demand{Rate: rate, Class: "open-log", Tenants: map[string]float64{tenants[0]: 0.55, tenants[1]: 0.33, tenants[2]: 0.12},
		Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second, Patience: [2]float64{0.3, 0.4}, Redials: 2, LateValue: 0.25, Cells: r.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, ledger, rng.Uint64())
	for _, k := range r.Numbers {
		var entries []standin.Entry
		for _, s := range servers {
			entries = append(entries, standin.NewEntry(s, f.Name(k), "SERVING", time.Time{}))
		}
		list, err := standin.NewListService(entries, nil)
		if err != nil {
			return nil, err
		}
		l.lists[k] = list
		f.work.Go(func() error { return list.Run(f.ctx) })
	}
	return l, nil
}

// realSnapshot is the state of one real member at one time.
type realSnapshot struct {
	at          int64
	cpu         time.Duration
	resident    int64
	status      MemberStatus
	calls       uint64 // received since its start
	countAgesMS []int64
}

// realSnapshots takes snapshots of all real members.
func (f *Fleet) realSnapshots(ctx context.Context) ([]realSnapshot, error) {
	var all []realSnapshot
	for _, r := range f.realMembers {
		pid := r.PID()
		l := realSnapshot{at: time.Now().UnixNano(), cpu: cpuOf(pid), resident: residentOf(pid)}
		s, err := ctl.FetchStatus(ctx, r.socket)
		if err != nil {
			return nil, fmt.Errorf("cannot read the status of %s: %w", r.Name, err)
		}
		if l.calls = s.Core.ReceivedTotal; s.Peers == nil { // it does not communicate with others
			all = append(all, l)
			continue
		}
		l.status = MemberStatus{Number: r.number, Name: r.Name, Received: s.Peers.Received, Dropped: s.Peers.Dropped, Deaths: s.Peers.Deaths, Traffic: s.Peers.Traffic}
		for _, m := range s.Peers.Members {
			if m.State == "alive" || m.State == "suspect" {
				l.status.Alive++
			}
		}
		for _, k := range s.Peers.Shared.KnownCounts {
			if k.Name != r.Name {
				l.countAgesMS = append(l.countAgesMS, k.AgeMS)
			}
		}
		all = append(all, l)
	}
	return all, nil
}

// WaitForRealMembers waits until all real members see so many members alive.
func (f *Fleet) WaitForRealMembers(members int) error {
	for end := time.Now().Add(convergeTimeout); ; {
		all, err := f.realSnapshots(f.ctx)
		if err != nil {
			return err
		}
		missing := 0
		for _, l := range all {
			if l.status.Alive != members {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d real members do not know all %d members", missing, members)
		}
		if err := f.sleep(pollInterval); err != nil {
			return err
		}
	}
}
