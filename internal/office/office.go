// Package office is the client side: it holds lasting connections to the offices on the list, sends them the
// attempts of the exchange, and turns what they say into outcomes and reports.
package office

import (
	"context"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// Core is what this side tells the exchange.
type Core interface {
	Accepted(server uint64, id string, n int, desc []byte)
	Ended(server uint64, id string, n int, e exchange.Result)
	Released(server uint64, id string, cut bool, report []float64)
	State(server uint64, report []float64)
	ServerLost(server uint64)
}

// Peer is one open connection to an office, in whatever form the office speaks. Its sends never block.
type Peer interface {
	Invite(a exchange.Attempt)
	Cancel(id string, n int)
	Bye(id string, n int, cut bool)
	Close()
	// Run reads until the connection ends; what it hears goes to h.
	Run(ctx context.Context, h Handler) (sip.Reason, error)
}

// Hearer takes what a peer hears.
type Handler interface {
	Accepted(id string, desc []byte)
	Ended(id string, e exchange.Result)
	Released(id string, cut bool, report []float64)
	State(report []float64)
}

// Dial opens a connection to an office's address.
type Dial func(ctx context.Context, addr string) (Peer, error)
