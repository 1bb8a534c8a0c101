package peers

import (
	"log/slog"

	"masthill/control/shared"
)

// Module is the decision module that talks; it is called on the core's goroutine alone.
type Module interface {
	Tick(now int64, members int) []shared.Out
	Hear(now int64, m shared.Message) []shared.Out
}

// Options is what a membership is made from.
type Options struct {
	Name, Site, Machine, Version string
	Epoch                        uint64
	Listen                       string            // host:port for datagrams and streams
	Advertise                    string            // what others are told; empty: the same
	Seeds                        []string          // host:port, or name/host:port
	Via                          map[string]string // other addresses for some members, by name
	Keys                         [][]byte          // 16, 24 or 32 bytes; the first seals, all open
	Remember                     string            // a file for the members' addresses; empty: none
	Log                          *slog.Logger
	Module                       Module
	// Do has the core run something without waiting for it; false: it has too much to do, and will not.
	Do       func(f func(now int64)) bool
	Handlers map[string]Handler // of streams, by kind
}
