package scale

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"masthill/control"
	"masthill/control/join"
	"masthill/internal/exchange"
)

// joined is a decision module beside control.
type joined = join.Module

// feed makes up calls for a hollow member's shared state, so that it has as much to tell as one with real calls. The calls
// touch neither control nor any socket.
type feed struct {
	mu      sync.Mutex
	servers map[uint64]bool
	silent  atomic.Uint64 // calls to this server get no answer; 0: none
	calls   atomic.Uint64
	rate    atomic.Uint64 // calls a second, the bits of a float64
	open    []openCall    // at the silent server; the core's goroutine alone looks at them
}

// openCall is a made-up call without its answer.
type openCall struct {
	id     string
	server uint64
	at     int64
}

// openFor is how long a call without an answer is waited for: as long as the class's aim.
const openFor = int64(1200 * time.Millisecond)

// feedEvery is how often made-up calls are handed in.
const feedEvery = 100 * time.Millisecond

// fedMost bounds the calls of one turn.
const fedMost = 1000

// listed keeps the servers that serve.
func (f *feed) listed(changed []exchange.Office, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full || f.servers == nil {
		f.servers = map[uint64]bool{}
	}
	for _, o := range changed {
		if o.State == control.Serving {
			f.servers[o.Server] = true
		} else {
			delete(f.servers, o.Server)
		}
	}
}

func (f *feed) all() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.servers))
}

// tenants are those of host.Platform.
var tenants = []string{"slaney-vines", "barrow-estate", "suir-growers"}

// run hands calls in until ctx ends.
func (f *feed) run(ctx context.Context, m *Member) {
	f.rate.Store(math.Float64bits(m.spec.SyntheticCalls))
	tick := time.NewTicker(feedEvery)
	defer tick.Stop()
	due := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		servers := f.all()
		due += feedEvery.Seconds() * math.Float64frombits(f.rate.Load()) / m.spec.slow()
		n := uint64(min(due, fedMost))
		if due -= float64(n); n == 0 || len(servers) == 0 {
			continue
		}
		m.core.TryRun(func(now int64) {
			for range n {
				call := f.calls.Add(1)
				f.call(now, m, call, servers[(call*7+uint64(m.k))%uint64(len(servers))])
			}
			f.overdue(now, m)
		})
	}
}

// call is one made-up call: it arrives, is sent to a server and stands, unless the server is silent.
func (f *feed) call(now int64, m *Member, call, server uint64) {
	id := "f" + strconv.FormatUint(call, 16)
	m.shared.Admit(now, join.Call{ID: id, Tenant: tenants[call%uint64(len(tenants))]})
	if ok, _ := m.shared.HasRoom(now, server); !ok {
		m.shared.OnEvent(now, control.Event{Kind: control.Aborted, Call: id})
		return
	}
	m.shared.OnAction(now, control.Action{Kind: control.Send, Call: id, Server: server})
	if server == f.silent.Load() {
		f.open = append(f.open, openCall{id, server, now})
		return
	}
	m.shared.OnEvent(now, control.Event{Kind: control.Established, Call: id, Server: server})
}

// overdue ends the calls whose answer did not come.
func (f *feed) overdue(now int64, m *Member) {
	for len(f.open) > 0 && now-f.open[0].at >= openFor {
		one := f.open[0]
		f.open = f.open[1:]
		m.shared.OnEvent(now, control.Event{Kind: control.AttemptEnded, Call: one.id, Server: one.server, Outcome: control.TimedOut})
	}
}
