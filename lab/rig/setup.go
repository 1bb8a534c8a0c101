package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"masthill/lab/host"
	"masthill/lab/processor"
	"masthill/lab/standin"
)

const (
	// maxLinkedInstances is how many instances get a link for each pair. Larger fleets connect directly, and their links
	// cannot fail.
	maxLinkedInstances = 24
	// maxParallelStarts bounds the instances that start at the same time.
	maxParallelStarts = 8
	// fleetKey encrypts the messages between the instances of a run. It need not be secret.
	fleetKey = "bWFzdGhpbGwtbGFiLWtleQ=="
	// deadline is the time limit of a call.
	deadline = 9 * time.Second
)

// setUp prepares everything but the instances' processes.
func (w *run) setUp() error {
	p := w.Plan
	network, reservation, err := reserveNetwork(w.Seed)
	if err != nil {
		return err
	}
	context.AfterFunc(w.ctx, func() { reservation.Close() })
	w.params = processor.DrawParams(p.PlannedRate, p.Servers, w.rng)
	w.result.RefusalPointMS = float64(w.params.RefusalWait) / 1e6
	for k := range p.Instances {
		w.names = append(w.names, fmt.Sprintf("n%d", k))
	}
	if err := w.startServers(); err != nil {
		return err
	}
	addr := func(k int) string { return fmt.Sprintf("%s.%d.1:2908", network, k+1) }
	if p.Instances <= maxLinkedInstances && !w.WithoutPeers {
		if err := w.openLinks(network, addr); err != nil {
			return err
		}
	}
	w.callers = standin.NewCallerPool(demand(p), w.ledger, w.rng.Uint64())
	for k, name := range w.names {
		if err := w.prepareInstance(k, name, addr); err != nil {
			w.callers.Close()
			return err
		}
	}
	return nil
}

// reserveNetwork finds a loopback network that no other rig uses, in which each instance gets an address of its own. The
// network belongs to this rig until the listener is closed.
func reserveNetwork(seed uint64) (network string, reservation net.Listener, err error) {
	for n := range uint64(100) {
		network = fmt.Sprintf("127.%d", 20+(seed+n*7)%100)
		if reservation, err = net.Listen("tcp", network+".255.1:2908"); err == nil {
			return network, reservation, nil
		}
	}
	return "", nil, err
}

// startServers starts the servers of the plan.
func (w *run) startServers() error {
	for k := range w.Plan.Servers {
		id := fmt.Sprintf("s-%08x", 0xa0+k)
		s, err := standin.NewServer(id, k, w.params, time.Time{}, deadline, w.names, w.rng.Uint64(), w.ledger)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.group.Go(func() error { return s.Run(w.ctx) })
	}
	return nil
}

// openLinks opens a link for each ordered pair of instances.
func (w *run) openLinks(network string, addr func(int) string) error {
	for a := range w.names {
		for b := range w.names {
			if a == b {
				continue
			}
			linkHost := fmt.Sprintf("%s.%d.%d", network, a+1, b+100)
			l, err := newLink(w.names[a], w.names[b], linkHost, addr(b), w.rng.Uint64())
			if err != nil {
				return err
			}
			w.links[[2]int{a, b}] = l
		}
	}
	for pair, l := range w.links {
		l.reverse = w.links[[2]int{pair[1], pair[0]}]
		w.group.Go(func() error { return l.run(w.ctx) })
	}
	return nil
}

// demand returns the load that the callers generate.
func demand(p *Plan) standin.Demand {
	return standin.Demand{
		Rate:      p.LoadFactor * p.PlannedRate,
		Class:     "open-log",
		Tenants:   map[string]float64{"slaney-vines": 0.55, "barrow-estate": 0.33, "suir-growers": 0.12},
		Aim:       1200 * time.Millisecond,
		Deadline:  deadline,
		Patience:  [2]float64{0.3, 0.4},
		Redials:   2,
		LateValue: 0.25,
		Cells:     p.Servers,
		RedialGap: [2]time.Duration{300 * time.Millisecond, time.Second},
	}
}

// prepareInstance starts an instance's list service, and makes its directory and settings.
func (w *run) prepareInstance(k int, name string, addr func(int) string) error {
	p := w.Plan
	var entries []standin.Entry
	for _, s := range w.servers {
		entries = append(entries, standin.NewEntry(s, name, "SERVING", time.Time{}))
	}
	list, err := standin.NewListService(entries, nil)
	if err != nil {
		return err
	}
	w.listServices = append(w.listServices, list)
	w.group.Go(func() error { return list.Run(w.ctx) })
	dir := filepath.Join(w.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	site := host.Site{Instances: p.Instances, Servers: p.Servers, Planned: p.PlannedRate}
	w.instances = append(w.instances, &host.Instance{
		Name:     name,
		Dir:      dir,
		Program:  w.Program,
		Env:      w.Env,
		Settings: w.settings(k, dir, addr),
		Config:   host.PlatformConfig(name, k, site, list.Addr(), w.rng.Uint64()),
	})
	return nil
}

// startInstances starts all instances, a few at a time.
func (w *run) startInstances() error {
	starts, _ := errgroup.WithContext(w.ctx)
	starts.SetLimit(maxParallelStarts)
	for k := range w.instances {
		starts.Go(func() error { return w.startInstance(k) })
	}
	return starts.Wait()
}

// startInstance starts the process of an instance, and adds it to the callers' instances once it is ready.
func (w *run) startInstance(k int) error {
	i := w.instances[k]
	addr, err := i.Start(w.ctx, w.listServices[k].KnownList())
	if err != nil {
		return err
	}
	return w.callers.AddInstance(w.ctx, i.Name, addr)
}
