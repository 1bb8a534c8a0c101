// Package office connects to the offices: it keeps a persistent connection to each office on the server list, sends the
// attempts of the exchange over it, and translates what the offices send into outcomes and load reports.
package office

import (
	"context"

	"masthill/internal/exchange"
	"masthill/internal/sip"
)

// Core receives the events of all offices; the exchange implements it. n is the index of the attempt within its call,
// -1 if none was outstanding on the connection. The reports are load reports in the order of Fields; nil: none.
type Core interface {
	// Accepted tells that the office has accepted the call.
	Accepted(server uint64, id string, n int, desc []byte)
	// Ended tells that an attempt has ended without being accepted.
	Ended(server uint64, id string, n int, result exchange.Result)
	// Released tells that the office has released a call; cut: before its regular end.
	Released(server uint64, id string, cut bool, report []float64)
	// State passes on a load report.
	State(server uint64, report []float64)
	// ServerLost tells that the server's process has ended, and with it all calls there.
	ServerLost(server uint64)
}

// Peer is one open connection to an office, in whatever protocol the office uses. Its sends never block.
type Peer interface {
	// Invite sends the set-up of an attempt. An error tells that nothing was sent, as the set-up exceeds the greatest size of a
	// message; the connection is still usable.
	Invite(a exchange.Attempt) error
	// Cancel cancels attempt n of a call.
	Cancel(id string, n int)
	// Bye releases a call that attempt n established; cut: before its regular end.
	Bye(id string, n int, cut bool)
	// Close ends the connection after what was sent before has been written.
	Close()
	// Run reads until the connection ends and passes each message to h.
	Run(ctx context.Context, h Handler) (sip.Reason, error)
}

// Handler receives the messages of an office that a Peer reads. id is the call's.
type Handler interface {
	// Accepted handles the acceptance of a call, with the office's description.
	Accepted(id string, desc []byte)
	// Ended handles a refusal.
	Ended(id string, result exchange.Result)
	// Released handles the release of a call by the office; cut: before its regular end.
	Released(id string, cut bool, report []float64)
	// State handles a load report; nil: it held no known value.
	State(report []float64)
}

// Dial opens a connection to an office at an address of the server list.
type Dial func(ctx context.Context, addr string) (Peer, error)
