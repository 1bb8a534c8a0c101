package peers

import (
	"log/slog"

	"masthill/control/shared"
)

// Module is the decision module whose messages are carried. It is called on the core's goroutine alone.
type Module interface {
	// Tick does what is due, and returns the messages to send.
	Tick(now int64, members int) []shared.Outgoing
	// Hear takes a message of another member, and returns the messages to send in answer.
	Receive(now int64, m shared.Message) []shared.Outgoing
}

// Options is what New needs to know.
type Options struct {
	Name, Site, Machine, Version string
	Epoch                        uint64            // drawn at random at each start
	Listen                       string            // host:port for datagrams and streams
	Advertise                    string            // the address that other members are told; empty: Listen
	Seeds                        []string          // host:port, or name/host:port
	AddrOverrides                map[string]string // addresses that replace the advertised ones of some members, by name
	Keys                         [][]byte          // of 16, 24 or 32 bytes; the first one encrypts, all of them decrypt
	MembersFile                  string            // the file that keeps the members' addresses; empty: none is kept
	Log                          *slog.Logger      // nil: nothing is logged
	Module                       Module
	// Do runs a function on the core's goroutine without waiting for it. It returns false if the core is too busy, and then
	// drops the function.
	TryRun        func(f func(now int64)) bool
	Handlers      map[string]Handler // of the streams that other members open, by kind
	Reachable     Reachable          // nil: all addresses can be reached
	ClockSlowdown float64            // stretches all intervals, for a lab; up to 1: not at all
}
