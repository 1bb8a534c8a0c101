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

// For each limit and each combination of users, the shares add up to the total, for a single process and for one of two,
// and every user has descriptors. Half of 96 is not enough for a control socket and a store as well; docs/operation.md
// says so.
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
					t.Errorf("%+v: %+v, sum %d", d, b, b.sum())
				}
				if b.Discovery < 2 || b.Servers < 1 || b.Clients.MaxConnections < 1 || d.Operators && b.Operators < minOperators || d.WebSocket && b.WebSocket.MaxConnections < 1 {
					t.Errorf("%+v: a user has too few descriptors: %+v", d, b)
				}
				if f := b.Clients; f.MaxConnections > 1 && f.MaxConnections+f.MaxConnections/closingDivisor+acceptReserve > f.Descriptors {
					t.Errorf("%+v: too few descriptors for the clients' connections: %+v", d, f)
				}
			}
		}
	}
}

// As the list grows, the servers' share grows at the expense of the clients' share, but leaves it a third of the total.
func TestServersBeyondTheirMinimum(t *testing.T) {
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

func TestLimiter(t *testing.T) {
	g := NewLimiter(2)
	for k := range 3 {
		if g.TryAcquire() != (k < 2) {
			t.Fatalf("unexpected result of TryAcquire %d", k)
		}
	}
	g.SetLimit(1)
	g.Release()
	if g.TryAcquire() {
		t.Error("acquired beyond a limit that was lowered")
	}
	g.Release()
	if !g.TryAcquire() || g.Held() != 1 {
		t.Errorf("%d held", g.Held())
	}
}

// A connect that finds no descriptor is retried until there is one, and reports the shortage; any other error ends it.
func TestOpenWithRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt, shortages := time.Now(), 0
		open := func(context.Context) (int, error) {
			if time.Since(startedAt) < time.Second {
				return 0, &net.OpError{Op: "dial", Err: fmt.Errorf("socket: %w", syscall.EMFILE)}
			}
			return 7, nil
		}
		if got, err := OpenWithRetry(t.Context(), func() { shortages++ }, open); got != 7 || err != nil || shortages == 0 {
			t.Errorf("%d, %v, %d shortages", got, err, shortages)
		}
		if took := time.Since(startedAt); took > time.Second+retryInterval {
			t.Errorf("%v after the descriptor was free", took-time.Second)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt = time.Now().Add(time.Hour)
		if _, err := OpenWithRetry(ctx, nil, open); !Exhausted(err) {
			t.Errorf("after the end of the context: %v", err)
		}
		refused := errors.New("refused")
		if _, err := OpenWithRetry(t.Context(), nil, func(context.Context) (int, error) { return 0, refused }); err != refused {
			t.Errorf("%v", err)
		}
	})
}

// An instance that follows configuration releases reserves descriptors for that.
func TestReleasesReserveDescriptors(t *testing.T) {
	without, with := Plan(Demand{Limit: 1024}), Plan(Demand{Limit: 1024, Releases: true})
	if with.Runtime != without.Runtime+releasesRuntime {
		t.Errorf("%+v, and %+v without", with, without)
	}
}
