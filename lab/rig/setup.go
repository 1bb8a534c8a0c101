package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

// linksMost is how many instances have a link for each pair; larger fleets speak directly, and links can't be broken.
const linksMost = 24

// key seals what the instances of a run say to each other; it protects nothing.
const key = "bWFzdGhpbGwtbGFiLWtleQ=="

// place finds a loopback net where no other rig is: each instance has an address of its own there. The net is this rig's
// until the listener is closed.
func place(seed uint64) (at string, held net.Listener, err error) {
	for n := range uint64(100) {
		at = fmt.Sprintf("127.%d", 20+(seed+n*7)%100)
		if held, err = net.Listen("tcp", at+".255.1:2908"); err == nil {
			return at, held, nil
		}
	}
	return "", nil, err
}

func (w *run) play() error {
	p := w.Plan
	at, held, err := place(w.Seed)
	if err != nil {
		return err
	}
	context.AfterFunc(w.ctx, func() { held.Close() })
	w.params = processor.Draw(p.Planned, p.Servers, w.rng)
	w.r.Refusal = float64(w.params.Refuse) / 1e6
	addr := func(k int) string { return fmt.Sprintf("%s.%d.1:2908", at, k+1) }
	for k := range p.Instances {
		w.names = append(w.names, fmt.Sprintf("n%d", k))
	}
	for k := range p.Servers {
		s, err := standin.NewServer(fmt.Sprintf("s-%08x", 0xa0+k), k, w.params, time.Time{}, 9*time.Second, w.names, w.rng.Uint64(), w.ledger)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.group.Go(func() error { return s.Run(w.ctx) })
	}
	if p.Instances <= linksMost && !w.Plain {
		if err := w.wire(at, addr); err != nil {
			return err
		}
	}
	w.crowd = standin.NewCrowd(standin.Demand{Rate: p.Load * p.Planned, Class: "open-log",
		Tenants: map[string]float64{"slaney-vines": 0.55, "barrow-estate": 0.33, "suir-growers": 0.12}, Aim: 1200 * time.Millisecond,
		Deadline: 9 * time.Second, Patience: [2]float64{0.3, 0.4}, Redials: 2, Late: 0.25, Cells: p.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second}}, w.ledger, w.rng.Uint64())
	defer w.crowd.Close()
	for k, name := range w.names {
		var first []standin.Entry
		for _, s := range w.servers {
			first = append(first, standin.EntryOf(s, name, "SERVING", time.Time{}))
		}
		list, err := standin.NewList(first, nil)
		if err != nil {
			return err
		}
		w.lists = append(w.lists, list)
		w.group.Go(func() error { return list.Run(w.ctx) })
		dir := filepath.Join(w.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		i := &host.Instance{Name: name, Dir: dir, Program: w.Program, Env: w.Env, Settings: w.settings(k, dir, addr),
			Config: host.Platform(name, k, host.Site{Instances: p.Instances, Servers: p.Servers, Planned: p.Planned}, list.Addr(), w.rng.Uint64())}
		w.instances = append(w.instances, i)
	}
	starts, _ := errgroup.WithContext(w.ctx)
	starts.SetLimit(8)
	for k := range w.instances {
		starts.Go(func() error { return w.up(k) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	w.began = time.Now()
	w.calm = w.began
	w.group.Go(func() error { w.drive(); return nil })
	for _, f := range w.faults {
		w.group.Go(func() error { w.strike(f); return nil })
	}
	if p.Cold > 0 {
		w.group.Go(func() error { w.colds(); return nil })
	}
	return w.crowd.Run(w.ctx, p.For)
}

// wire opens a link for each pair of instances.
func (w *run) wire(at string, addr func(int) string) error {
	for a := range w.names {
		for b := range w.names {
			if a == b {
				continue
			}
			l, err := newLink(w.names[a], w.names[b], fmt.Sprintf("%s.%d.%d", at, a+1, b+100), addr(b), w.rng.Uint64())
			if err != nil {
				return err
			}
			w.links[[2]int{a, b}] = l
		}
	}
	for pair, l := range w.links {
		l.back = w.links[[2]int{pair[1], pair[0]}]
		w.group.Go(func() error { return l.run(w.ctx) })
	}
	return nil
}

// settings is the operators' file of an instance.
func (w *run) settings(k int, dir string, addr func(int) string) string {
	p := w.Plan
	var b strings.Builder
	fmt.Fprintf(&b, "[goodput]\nenabled = true\n[state]\ndir = %q\nevery = \"1s\"\n[shares]\nenabled = %v\n", dir, p.Shares)
	if w.Plain {
		return b.String()
	}
	machine := fmt.Sprintf("m%d", k)
	if p.Machines > 0 {
		machine = fmt.Sprintf("m%d", k%p.Machines)
	}
	w.machines[w.names[k]] = machine
	var seeds, keepers []string
	for n := range p.Keepers {
		keepers = append(keepers, fmt.Sprintf("%q", w.names[n]))
		if n != k {
			seeds = append(seeds, fmt.Sprintf("%q", w.names[n]+"/"+addr(n)))
		}
	}
	fmt.Fprintf(&b, "[peers]\nlisten = %q\nsite = \"s%d\"\nmachine = %q\nseeds = [%s]\nkeys = [%q]\nkeepers = [%s]\nterm = %q\nbudgets = %v\njudgements = %v\naudit = %q\n",
		addr(k), k%p.Sites, machine, strings.Join(seeds, ", "), key, strings.Join(keepers, ", "), p.Term, p.Budgets, p.Judgements, w.claims(k))
	if len(w.links) > 0 {
		b.WriteString("[peers.via]\n")
		for n, name := range w.names {
			if n != k {
				fmt.Fprintf(&b, "%s = %q\n", name, w.links[[2]int{k, n}].addr())
			}
		}
	}
	return b.String()
}

// claims names the file of an instance's claims, outside its folder, which may get lost.
func (w *run) claims(k int) string { return filepath.Join(w.Dir, w.names[k]+".claims") }

func (w *run) up(k int) error {
	i := w.instances[k]
	addr, err := i.Start(w.ctx, w.lists[k].Known())
	if err != nil {
		return err
	}
	return w.crowd.Enter(w.ctx, i.Name, addr)
}
