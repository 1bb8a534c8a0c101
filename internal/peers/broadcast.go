package peers

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"masthill/control/shared"
)

// byteTo is a message and whom it is for, or from whom.
type byteTo struct {
	to string
	b  []byte
	at time.Time // it was made, or read
}

// send takes what the module has to say; it is called on the core's goroutine and never blocks.
func (p *Peers) send(out []shared.Out) {
	if len(out) == 0 {
		return
	}
	batch := make([]byteTo, 0, len(out))
	for _, o := range out {
		b, err := Encode(o.Message)
		if err == nil {
			batch = append(batch, byteTo{o.To, b, time.Now()})
		}
	}
	select {
	case p.out <- batch:
	default:
		p.dropped.Add(int64(len(batch)))
	}
}

// saying sends datagrams: to one member, or to all.
func (p *Peers) saying(ctx context.Context) {
	for {
		var batch []byteTo
		select {
		case <-ctx.Done():
			return
		case batch = <-p.out:
		}
		to := p.addresses()
		for _, m := range batch {
			if time.Since(m.at) > staleAfter {
				p.dropped.Add(1)
				continue
			}
			for _, a := range to {
				if m.to == "" || m.to == a.Name {
					if err := p.list.Load().SendToAddress(a, m.b); err != nil {
						p.dropped.Add(1)
					}
				}
			}
		}
	}
}

// addresses are those of the other members. They are kept from the library's events: what its Members gives changes under
// the reader's hands.
func (p *Peers) addresses() (all []memberlist.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		if m.State == Alive && !m.Self {
			all = append(all, memberlist.Address{Addr: m.Addr, Name: name})
		}
	}
	return all
}
