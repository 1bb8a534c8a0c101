package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"masthill/control"
	"masthill/internal/exchange"
)

// InitialList is the part of the server list in the configuration: events of the journal, and the number of the last one.
type InitialList struct {
	Pos     int64             `json:"pos"`
	Entries []json.RawMessage `json:"entries"`
}

type event struct {
	Pos   int64 `json:"pos"`
	Hosts *struct {
		Version int64    `json:"version"`
		Full    bool     `json:"full"`
		Servers []server `json:"servers"`
	} `json:"hosts"`
}

type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

var states = map[string]control.EntryState{"SERVING": control.Serving, "DRAINING": control.Draining, "DELETED": control.Removed}

// Decode decodes one event; full: it holds the whole list.
func Decode(data []byte) (changed []exchange.Office, full bool, err error) {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, false, err
	}
	if e.Hosts == nil {
		return nil, false, errors.New("no hosts")
	}
	for k, h := range e.Hosts.Servers {
		state, ok := states[h.State]
		if !ok {
			return nil, false, fmt.Errorf("servers[%d].state: unknown %q", k, h.State)
		}
		if h.ID == "" || h.Addr == "" && state == control.Serving {
			return nil, false, fmt.Errorf("servers[%d]: no id or no addr", k)
		}
		changed = append(changed, exchange.Office{Addr: h.Addr, Entry: control.Entry{Cell: h.Cell,
			Share: h.Weight, Server: ServerNumber(h.ID), ReadyAt: h.Started * int64(time.Millisecond), State: state}})
	}
	return changed, e.Hosts.Full, nil
}

// ServerNumber returns the number that identifies a server in package control: the hex digits after the dash of its id,
// or a hash of an id of another form.
func ServerNumber(id string) uint64 {
	_, hex, _ := strings.Cut(id, "-")
	if n, err := strconv.ParseUint(hex, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
