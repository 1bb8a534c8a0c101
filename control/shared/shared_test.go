package shared

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"masthill/control"
	"masthill/control/join"
	"masthill/control/shared/lease"
)

// group simulates a few instances with instant delivery of messages, in steps of a tenth of a second.
type group struct {
	now          int64
	instances    []*Module
	disconnected map[int]bool
	callCount    int
}

const servers = 6

func newGroup(n int, c Config) *group {
	g := &group{now: 1000 * second, disconnected: map[int]bool{}}
	for k := range n {
		one := c
		one.Control = control.Settings{GroupSize: n, Ordinal: k, ColdFraction: 0.31, WarmUpTime: 15 * second, Classes: []control.Class{{TargetDelay: 1200e6, Deadline: 9 * second, Value: 1}}}
		one.Name, one.Machine, one.Epoch = fmt.Sprint("n", k), fmt.Sprint("m", k), uint64(k+1)
		one.Lease = lease.Config{Voters: []string{"n0", "n1", "n2"}, MaxInstances: n}
		m := New(one, uint64(k), g.now, Callbacks{})
		m.OnEvent(g.now, g.list(0))
		g.instances = append(g.instances, m)
	}
	return g
}

// list is the full list of servers 1 to 6, of which server 1 became ready at the time started.
func (g *group) list(started int64) control.Event {
	ev := control.Event{Kind: control.ListUpdate, FullList: true}
	for id := uint64(1); id <= servers; id++ {
		e := control.Entry{Server: id, Cell: int(id) - 1, Share: 1, State: control.Serving}
		if id == 1 {
			e.ReadyAt = started
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

func (g *group) deliver(from int, out []Outgoing) {
	for _, o := range out {
		for k, m := range g.instances {
			if k != from && (o.To == "" || o.To == m.cfg.Name) && !g.disconnected[from] && !g.disconnected[k] {
				g.deliver(k, m.Receive(g.now, o.Message))
			}
		}
	}
}

func (g *group) run(d int64, step func(k int, m *Module)) {
	for end := g.now + d; g.now < end; {
		g.now += second / 10
		for k, m := range g.instances {
			if step != nil {
				step(k, m)
			}
			g.deliver(k, m.Tick(g.now, len(g.instances)))
		}
	}
}

// call offers a call to an instance and, if it has room at the server, sends the call there.
func (g *group) call(m *Module, tenant string, server uint64) (id string, sent bool) {
	g.callCount++
	id = fmt.Sprint(g.callCount)
	m.Admit(g.now, join.Call{ID: id, Tenant: tenant})
	if ok, _ := m.HasCapacity(g.now, server); !ok {
		return id, false
	}
	m.OnAction(g.now, control.Action{Kind: control.Send, Call: id, Server: server})
	return id, true
}

func TestColdBudgetBoundsTheFleet(t *testing.T) {
	const planned = 60.0
	g := newGroup(12, Config{Planned: planned, Budgets: true})
	g.run(8*second, nil) // a leader is elected
	started := g.now
	for _, m := range g.instances {
		m.OnEvent(g.now, g.list(started))
	}
	sent := 0
	g.run(4*second, func(_ int, m *Module) {
		for range 2 { // far above the budget: 240 a second
			if _, ok := g.call(m, "", 1); ok {
				sent++
			}
		}
	})
	// Twice its planned 10 a second, at a capacity that starts at 0.31 and grows in steps of 15/8 s.
	most := 4 * coldRateFactor * (0.31 + 2*0.69/8) * planned / servers
	if float64(sent) > most+12 || float64(sent) < most*0.4 {
		t.Errorf("%d calls sent in 4 s, the budget is %.1f", sent, most)
	}
	if ok, why := g.instances[0].HasCapacity(g.now, 1); ok || why != ColdBudget {
		t.Errorf("room %v, reason %q", ok, why)
	}
	if ok, why := g.instances[0].HasCapacity(g.now, 2); !ok {
		t.Errorf("warm server has no room: %s", why)
	}
	g.run(15*second, nil)
	if ok, why := g.instances[0].HasCapacity(g.now, 1); !ok {
		t.Errorf("server has no room after it has warmed up: %s", why)
	}
}

func TestSilentServerIsAvoidedAfterFewLostCalls(t *testing.T) {
	for _, on := range []bool{false, true} {
		g := newGroup(12, Config{DetectOutliers: on})
		rng := rand.New(rand.NewPCG(1, 1))
		lost, last := 0, int64(0)
		type out struct {
			m  *Module
			id string
			at int64
		}
		var waiting []out
		silent := int64(0)
		step := func(_ int, m *Module) {
			for len(waiting) > 0 && g.now-waiting[0].at > 200e6 { // a healthy server answers within 200 ms
				w := waiting[0]
				waiting = waiting[1:]
				w.m.OnEvent(g.now, control.Event{Kind: control.Established, Call: w.id, Server: uint64(1)})
			}
			if rng.IntN(12) > 0 { // each instance has a call every 1.2 s on average
				return
			}
			server := 1 + rng.Uint64N(servers)
			id, sent := g.call(m, "", server)
			switch {
			case !sent:
			case silent > 0 && server == 1:
				lost++
				last = g.now
			case server == 1:
				waiting = append(waiting, out{m, id, g.now})
			default:
				m.OnEvent(g.now, control.Event{Kind: control.Established, Call: id, Server: server})
			}
		}
		g.run(10*second, step)
		waiting = nil
		silent = g.now
		g.run(12*second, step)
		if on && lost > 12 || !on && lost < 15 {
			t.Errorf("outlier detection %v: %d calls lost, the last after %d ms", on, lost, (last-silent)/1e6)
		}
	}
}

func TestTotalsCoverTheFleet(t *testing.T) {
	g := newGroup(10, Config{Tenants: []string{"slaney-vines", "barrow-estate"}})
	step := func(k int, m *Module) {
		if g.now/1e8%2 == int64(k)%2 { // each instance has five calls a second
			id, _ := g.call(m, "slaney-vines", 2)
			if k < 5 {
				m.OnEvent(g.now, control.Event{Kind: control.Established, Call: id, Server: 2})
			} else {
				m.OnAction(g.now, control.Action{Kind: control.Refuse, Call: id})
			}
		}
		if k == 0 {
			g.call(m, "who?", 3) // ten a second
		}
	}
	g.run(8*second, step)
	totals, ok := g.instances[7].Totals(g.now)
	if !ok || totals.Offered["slaney-vines"] < 40 || totals.Offered["slaney-vines"] > 52 || totals.Offered[""] < 8 || totals.Placed["slaney-vines"] < 20 ||
		totals.Lost["slaney-vines"] < 20 || totals.Lost["slaney-vines"] > 27 {
		t.Errorf("%v: %+v", ok, totals)
	}
	if s := g.instances[7].Status(g.now); s.State != Together {
		t.Errorf("%+v", s)
	}
	g.disconnected[7] = true
	g.run(6*second, step)
	if _, ok := g.instances[7].Totals(g.now); ok || g.instances[7].Status(g.now).State != Alone {
		t.Error("fleet totals available to a disconnected instance")
	}
	snapshot := g.instances[1].Snapshot(g.now) // of a voter
	if len(snapshot.Counts) == 0 || snapshot.Leader == "" || snapshot.Counts[0].LowerBound > snapshot.Counts[0].UpperBound {
		t.Errorf("%+v", snapshot)
	}
}
