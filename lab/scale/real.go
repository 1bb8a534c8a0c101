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

// Reals are the members that are processes of the program, and the load that they are under.
type RealMembers struct {
	Numbers      []int
	Program      string
	Dir          string  // for their folders
	Calls        float64 // real calls a second at each, by stand-ins for callers and servers; 0: none
	Servers      int     // stand-ins for servers, where there are calls
	WithoutPeers bool    // they know nothing of each other: what a process costs without control
}

// real is one process of the program.
type real struct {
	*host.Instance
	k      int
	socket string
}

// realsAtOnce is how many processes start at the same time.
const realsAtOnce = 4

// StartReals starts the real members, and their load.
func (f *Fleet) StartRealMembers(r RealMembers) error {
	if len(r.Numbers) == 0 {
		return nil
	}
	load, err := f.load(r)
	if err != nil {
		return err
	}
	var starts errgroup.Group
	starts.SetLimit(realsAtOnce)
	for _, k := range r.Numbers {
		dir := filepath.Join(r.Dir, f.Name(k))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		one := &real{k: k, socket: filepath.Join(dir, "socket"), Instance: &host.Instance{Name: f.Name(k), Dir: dir, Program: r.Program, Config: f.Platform(k)}}
		one.Settings = fmt.Sprintf("[socket]\npath = %q\n", one.socket)
		if !r.WithoutPeers {
			one.Settings += f.Settings(k)
		}
		list := f.list
		if load != nil {
			list = load.lists[k]
			one.Config["journal"] = list.Addr()
		}
		f.reals = append(f.reals, one)
		starts.Go(func() error {
			addr, err := one.Start(f.ctx, list.KnownList())
			if err == nil && load != nil {
				err = load.crowd.AddInstance(f.ctx, one.Name, addr)
			}
			return err
		})
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	if load != nil {
		f.work.Go(func() error {
			load.crowd.Run(f.ctx, loadMost) // ends with the run
			load.crowd.Close()
			return nil
		})
	}
	return nil
}

// loadMost bounds how long callers call.
const loadMost = 10 * time.Minute

// load is the stand-ins that real members' calls need.
type load struct {
	crowd *standin.CallerPool
	lists map[int]*standin.ListService
}

// loadPart is the part of the stand-ins' planned load that callers bring.
const loadPart = 0.7

// load starts the stand-ins; nil without calls. Their servers are the first ones of the fleet's list.
func (f *Fleet) load(r RealMembers) (*load, error) {
	if r.Calls <= 0 {
		return nil, nil
	}
	rate := r.Calls * float64(len(r.Numbers))
	rng := rand.New(rand.NewPCG(f.Seed, 0x7363616c65))
	params := processor.DrawParams(rate/loadPart, r.Servers, rng)
	ledger := check.New(check.Rules{ReleaseWait: 300 * time.Millisecond, DrainGrace: time.Second, Slack: 50 * time.Millisecond})
	var names []string
	for _, k := range r.Numbers {
		names = append(names, f.Name(k))
	}
	l := &load{lists: map[int]*standin.ListService{}}
	var servers []*standin.Server
	for k := range r.Servers {
		s, err := standin.NewServer(entry(k, time.Time{}).ID, k, params, time.Time{}, 9*time.Second, names, rng.Uint64(), ledger)
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

// realLook is what one real member shows at one moment.
type realLook struct {
	at       int64
	cpu      time.Duration
	resident int64
	sight    MemberStatus
	taken    uint64 // calls, since its start
	counts   []int64
}

// lookAtReals looks at all real members.
func (f *Fleet) lookAtReals(ctx context.Context) ([]realLook, error) {
	var all []realLook
	for _, r := range f.reals {
		pid := r.PID()
		l := realLook{at: time.Now().UnixNano(), cpu: cpuOf(pid), resident: residentOf(pid)}
		s, err := ctl.FetchStatus(ctx, r.socket)
		if err != nil {
			return nil, fmt.Errorf("%s tells no status: %w", r.Name, err)
		}
		if l.taken = s.Core.ReceivedTotal; s.Peers == nil { // it knows of no others
			all = append(all, l)
			continue
		}
		l.sight = MemberStatus{Number: r.k, Name: r.Name, Received: s.Peers.Received, Dropped: s.Peers.Dropped, Deaths: s.Peers.Deaths, Traffic: s.Peers.Traffic}
		for _, m := range s.Peers.Members {
			if m.State == "alive" || m.State == "suspect" {
				l.sight.Alive++
			}
		}
		for _, k := range s.Peers.Shared.KnownCounts {
			if k.Name != r.Name {
				l.counts = append(l.counts, k.AgeMS)
			}
		}
		all = append(all, l)
	}
	return all, nil
}

// MeetReals waits until all real members know of so many.
func (f *Fleet) WaitForRealMembers(members int) error {
	for end := time.Now().Add(meetFor); ; {
		all, err := f.lookAtReals(f.ctx)
		if err != nil {
			return err
		}
		missing := 0
		for _, l := range all {
			if l.sight.Alive != members {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d real members do not know all %d", missing, members)
		}
		if err := f.pass(lookEvery); err != nil {
			return err
		}
	}
}
