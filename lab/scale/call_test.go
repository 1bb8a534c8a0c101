package scale

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
)

// placed is the servers' side and the caller of a core that is driven: it notes where a call was sent.
type placed struct {
	server uint64
	sent   int
}

func (p *placed) List([]exchange.Office, bool)    {}
func (p *placed) Invite(a exchange.Attempt)       { p.server, p.sent = a.Server, p.sent+1 }
func (p *placed) Cancel(uint64, string, int)      {}
func (p *placed) Bye(uint64, string, int, bool)   {}
func (p *placed) Suspect(uint64, time.Time, bool) {}
func (p *placed) Answer(string, exchange.Final)   {}
func (p *placed) Release(string, bool)            {}

// BenchmarkCallByServers is what the core and its decisions cost for a call from its arrival to its release, by the number
// of servers on the list, at 234 calls a second that last half a second each. Sockets come on top.
func BenchmarkCallByServers(b *testing.B) {
	for _, servers := range []int{7, 30, 60, 120, 240, 470, 940} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { callsAt(b, servers) })
	}
}

func callsAt(b *testing.B, servers int) {
	s := Spec{Size: 470, Servers: servers, Seed: 1, Net: "127.1", List: "127.0.0.1:9", Known: []byte(`{"pos":0,"entries":[]}`)}
	p, _, err := s.configured(3)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	x, err := exchange.New(exchange.Options{Settings: p.Settings, Seed: 1, Now: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler), Memory: 192 << 20})
	if err != nil {
		b.Fatal(err)
	}
	side := &placed{}
	x.Connect(side)
	var list []exchange.Office
	for k := range servers {
		list = append(list, exchange.Office{Addr: "127.0.0.1:9", Entry: control.Entry{Server: uint64(listedFirst + k), Cell: k, Share: 1, State: control.In}})
	}
	x.Members(list, true)
	x.Drive()
	type standing struct {
		id     string
		server uint64
		until  time.Time
	}
	var open []standing
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Second / plannedEach)
		id := fmt.Sprintf("%016x", n)
		x.Arrive(exchange.Setup{ID: id, Owner: "o", Name: "open-log", Tenant: tenants[n%3], Number: "17", Dest: n % servers, Taken: now, Until: now.Add(3 * time.Second)}, side)
		x.Drive()
		x.Stood(side.server, id, 0, nil)
		x.Drive()
		open = append(open, standing{id, side.server, now.Add(time.Second / 2)})
		for len(open) > 0 && !now.Before(open[0].until) {
			x.Released(open[0].server, open[0].id, false, nil)
			x.Drive()
			open = open[1:]
		}
	}
	if side.sent < b.N {
		b.Fatalf("%d of %d calls were sent", side.sent, b.N)
	}
}
