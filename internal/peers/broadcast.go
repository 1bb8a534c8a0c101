package peers

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"masthill/control/shared"
)

// envelope is a message and whom it is for, or from whom.
type envelope struct {
	to        string
	payload   []byte
	createdAt time.Time // it was made, or read
}

// enqueue takes what the module has to say; it is called on the core's goroutine and never blocks.
func (p *Peers) enqueue(out []shared.Out) {
	if len(out) == 0 {
		return
	}
	batch := make([]envelope, 0, len(out))
	for _, o := range out {
		b, err := Encode(o.Message)
		if err == nil {
			batch = append(batch, envelope{o.To, b, time.Now()})
		}
	}
	select {
	case p.outbound <- batch:
	default:
		p.dropped.Add(int64(len(batch)))
	}
}

// sendLoop sends datagrams: to one member, or to all.
func (p *Peers) sendLoop(ctx context.Context) {
	for {
		var batch []envelope
		select {
		case <-ctx.Done():
			return
		case batch = <-p.outbound:
		}
		to := p.peerAddresses()
		for _, m := range batch {
			if time.Since(m.createdAt) > maxMessageAge {
				p.dropped.Add(1)
				continue
			}
			for _, a := range to {
				if m.to == "" || m.to == a.Name {
					if err := p.list.Load().SendToAddress(a, m.payload); err != nil {
						p.dropped.Add(1)
					}
				}
			}
		}
	}
}

// peerAddresses are those of the other members. They are kept from the library's events: what its Members gives changes under
// the reader's hands.
func (p *Peers) peerAddresses() (all []memberlist.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		if m.State == Alive && !m.Self {
			all = append(all, memberlist.Address{Addr: m.Addr, Name: name})
		}
	}
	return all
}
