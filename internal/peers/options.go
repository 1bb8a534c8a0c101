package peers

import (
	"log/slog"

	"masthill/control/shared"
)

// Module is the decision module whose messages are exchanged. It is called only on the core's goroutine.
type Module interface {
	// Tick does what is due and returns the messages to send.
	Tick(now int64, members int) []shared.Outgoing
	// Receive handles a message of another member and returns the messages to send in answer.
	Receive(now int64, m shared.Message) []shared.Outgoing
}

// Options configures New.
type Options struct {
	Name, Site, Machine, Version string
	Epoch                        uint64            // drawn at random at each start
	Listen                       string            // host:port for datagrams and streams
	Advertise                    string            // the address that is announced to other members; empty: Listen
	Seeds                        []string          // host:port, or name/host:port
	AddrOverrides                map[string]string // addresses that replace the advertised ones, by the members' names
	Keys                         [][]byte          // of 16, 24 or 32 bytes; the first one encrypts, all of them decrypt
	MembersFile                  string            // the file in which the members' addresses are saved; empty: none
	Log                          *slog.Logger      // nil: nothing is logged
	Module                       Module
	// TryRun runs a function on the core's goroutine without waiting for it. It returns false if the core is too busy, and then
	// drops the function.
	TryRun        func(f func(now int64)) bool
	Handlers      map[string]Handler // for the streams that other members open, by kind
	Reachable     Reachable          // nil: all addresses are reachable
	ClockSlowdown float64            // the factor by which all intervals are stretched; up to 1: not at all
}
