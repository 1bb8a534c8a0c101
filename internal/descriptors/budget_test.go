package descriptors

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func (b Budget) sum() int {
	return b.Runtime + b.Discovery + b.Operators + b.Peers + b.Servers + b.Clients.Descriptors + b.WebSocket.Descriptors
}

// At each limit and with each set of parts the shares add up to the limit, alone and as one of two processes, and no user
// goes without. Half of 96 is not enough for a control socket and a store as well; docs/operation.md says so.
func TestSharesAddUp(t *testing.T) {
	for _, limit := range []int{96, 128, 192, 256, 384, 512, 1024, 4096} {
		for parts := range 64 {
			for _, servers := range []int{0, 1, 4, 24, 100, 5000} {
				d := Demand{Limit: limit, Servers: servers, Upgrade: parts&1 > 0, Operators: parts&2 > 0, WebSocket: parts&4 > 0, Control: parts&8 > 0,
					Store: parts&16 > 0, Releases: parts&32 > 0}
				if limit < 128 && d.Upgrade && (d.Control || d.Store) {
					continue
				}
				b := Plan(d)
				if b.sum() != b.Total || b.Total > limit || d.Upgrade && 2*b.Total > limit {
					t.Errorf("%+v: %+v, in all %d", d, b, b.sum())
				}
				if b.Discovery < 2 || b.Servers < 1 || b.Clients.MaxConnections < 1 || d.Operators && b.Operators < minOperators || d.WebSocket && b.WebSocket.MaxConnections < 1 {
					t.Errorf("%+v: somebody has none: %+v", d, b)
				}
				if f := b.Clients; f.MaxConnections > 1 && f.MaxConnections+f.MaxConnections/partingDivisor+acceptedSpare > f.Descriptors {
					t.Errorf("%+v: clients have more places than descriptors: %+v", d, f)
				}
			}
		}
	}
}

// A list that outgrows the servers' floor is served from the clients' share, and that ends at a third of all.
func TestServersThatOutgrowTheirShare(t *testing.T) {
	last := Plan(Demand{Limit: 1024})
	for servers := 1; servers < 2000; servers++ {
		b := Plan(Demand{Limit: 1024, Servers: servers})
		if b.Servers < last.Servers || b.Clients.Descriptors < 1024/clientsDivisor {
			t.Fatalf("%d servers: %+v after %+v", servers, b, last)
		}
		if need := connectionsPerServer * servers; b.Servers < need && b.Clients.Descriptors > 1024/clientsDivisor+1 {
			t.Fatalf("%d servers: %+v", servers, b)
		}
		last = b
	}
}

func TestGate(t *testing.T) {
	g := NewLimiter(2)
	for k := range 3 {
		if g.TryAcquire() != (k < 2) {
			t.Fatalf("take %d", k)
		}
	}
	g.SetLimit(1)
	g.Release()
	if g.TryAcquire() {
		t.Error("beyond a limit that was lowered")
	}
	g.Release()
	if !g.TryAcquire() || g.Held() != 1 {
		t.Errorf("%d held", g.Held())
	}
}

// A connect that finds no descriptor goes on as soon as there is one, and tells of the shortage; any other error ends it.
func TestPersist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, shortages := time.Now(), 0
		open := func(context.Context) (int, error) {
			if time.Since(began) < time.Second {
				return 0, &net.OpError{Op: "dial", Err: fmt.Errorf("socket: %w", syscall.EMFILE)}
			}
			return 7, nil
		}
		if got, err := OpenWithRetry(t.Context(), func() { shortages++ }, open); got != 7 || err != nil || shortages == 0 {
			t.Errorf("%d, %v, %d shortages", got, err, shortages)
		}
		if took := time.Since(began); took > time.Second+retryEvery {
			t.Errorf("%v after the descriptor was free", took-time.Second)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now().Add(time.Hour)
		if _, err := OpenWithRetry(ctx, nil, open); !Exhausted(err) {
			t.Errorf("at the end: %v", err)
		}
		refused := errors.New("refused")
		if _, err := OpenWithRetry(t.Context(), nil, func(context.Context) (int, error) { return 0, refused }); err != refused {
			t.Errorf("%v", err)
		}
	})
}

// An instance that follows configuration releases keeps descriptors for that.
func TestReleasesHaveTheirShare(t *testing.T) {
	without, with := Plan(Demand{Limit: 1024}), Plan(Demand{Limit: 1024, Releases: true})
	if with.Runtime != without.Runtime+releasesRuntime {
		t.Errorf("%+v, and %+v without", with, without)
	}
}
