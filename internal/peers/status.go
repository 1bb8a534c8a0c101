package peers

import (
	"slices"
	"strconv"
)

// Status describes the membership for operators.
type Status struct {
	Name          string   `json:"name"`
	Addr          string   `json:"addr"`
	Epoch         string   `json:"epoch"`
	NameTakenBy   string   `json:"name_taken_by,omitempty"`
	Members       []Member `json:"members"`
	Changes       []Change `json:"changes"`
	Health        int      `json:"health"` // Lifeguard's local health score: 0 is good, more means that this instance is slow
	Received      int64    `json:"heard"`  // messages received
	Dropped       int64    `json:"dropped"`
	Undecodable   int64    `json:"unreadable"`
	SentDatagrams int64    `json:"sent"` // datagrams
	SentBytes     int64    `json:"sent_bytes"`
	Traffic       Traffic  `json:"traffic"`
	Deaths        int64    `json:"deaths"` // changes of other members to gone
}

// Status returns the present state of the membership.
func (p *Peers) Status() Status {
	s := Status{
		Name:          p.options.Name,
		Addr:          p.Addr(),
		Epoch:         strconv.FormatUint(p.options.Epoch, 16),
		Members:       p.Members(),
		Received:      p.received.Load(),
		Dropped:       p.dropped.Load() + p.transport.dropped.Load(),
		Undecodable:   p.undecodable.Load(),
		SentDatagrams: p.transport.sentPackets.Load(),
		SentBytes:     p.transport.sentBytes.Load(),
		Traffic:       p.Traffic(),
		Deaths:        p.transport.meter.deaths.Load(),
	}
	if list := p.list.Load(); list != nil {
		s.Health = list.GetHealthScore()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Changes, s.NameTakenBy = slices.Clone(p.changes), p.nameTakenBy
	return s
}

// aliveMembers returns the number of members that are alive, including this one.
func (p *Peers) aliveMembers() int {
	if list := p.list.Load(); list != nil {
		return list.NumMembers()
	}
	return 1
}

// nameTaken tells whether another process uses this instance's name, so that this one must send nothing.
func (p *Peers) nameTaken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nameTakenBy != ""
}
