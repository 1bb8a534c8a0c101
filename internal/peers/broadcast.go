package peers

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"masthill/control/shared"
)

// outboundQueueSize bounds the batches of messages that wait to be sent.
const outboundQueueSize = 2048

// envelope is an encoded message that waits to be sent or to be handed to the module.
type envelope struct {
	to        string // the receiver; empty: all members
	payload   []byte
	createdAt time.Time // when it was encoded or received
}

// enqueue queues the module's messages for sending. It is called on the core's goroutine and never blocks: a batch that
// does not fit is dropped.
func (p *Peers) enqueue(outgoing []shared.Outgoing) {
	if len(outgoing) == 0 {
		return
	}
	batch := make([]envelope, 0, len(outgoing))
	for _, o := range outgoing {
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

// sendLoop sends the queued messages until ctx ends.
func (p *Peers) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.outbound:
			p.sendBatch(batch)
		}
	}
}

// sendBatch sends each message as a datagram to its receiver, or to all members. Messages older than maxMessageAge are
// dropped.
func (p *Peers) sendBatch(batch []envelope) {
	peers := p.peerAddresses()
	for _, m := range batch {
		if time.Since(m.createdAt) > maxMessageAge {
			p.dropped.Add(1)
			continue
		}
		for _, peer := range peers {
			if m.to != "" && m.to != peer.Name {
				continue
			}
			if err := p.list.Load().SendToAddress(peer, m.payload); err != nil {
				p.dropped.Add(1)
			}
		}
	}
}

// peerAddresses lists the addresses of the other members that are alive. They are kept from the library's events, because
// the nodes that its Members method returns change while they are read.
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
