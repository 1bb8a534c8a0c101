package model

import (
	"time"

	"masthill/control/join"
	"masthill/control/shared"
	"masthill/control/shared/outlier"
	"masthill/internal/peers"
)

// peerTick is how often an instance's shell has it do what is due: internal/peers' figure.
const peerTick = int64(100e6)

// peerCut tells whether what one controller says does not reach another now.
func (m *model) peerCut(from, to int) bool {
	return m.PeersPartitioned != nil && m.PeersPartitioned(time.Duration(m.now-start), from, to)
}

// talk finds the module that talks with the others, and has it tick.
func (c *controller) talk(chain join.Chain) {
	c.peer = nil
	for _, one := range chain {
		if s, ok := one.(*shared.Shared); ok {
			c.peer = s
		}
	}
	if c.peer == nil {
		return
	}
	gen := c.gen
	var tick func()
	tick = func() {
		if c.gen != gen || c.x == nil {
			return
		}
		c.say(c.peer.Tick(c.m.now, len(c.m.controllers)))
		c.m.after(peerTick, tick)
	}
	c.m.after(c.rng.Int64N(peerTick), tick)
}

// lie tells that every server is dead.
func (c *controller) lie() *outlier.Message {
	m := &outlier.Message{From: c.name(), Machine: c.name()}
	for _, s := range c.m.listed {
		m.Reports = append(m.Reports, outlier.Report{Server: s.id, Kind: outlier.Dead, Streak: 99})
	}
	return m
}

// say sends messages on their way.
func (c *controller) say(out []shared.Outgoing) {
	if c.n+1 == c.m.FalseReporter {
		out = append(out, shared.Outgoing{Message: shared.Message{Health: c.lie()}})
	}
	for _, o := range out {
		if c.m.PeerBytes {
			b, _ := peers.Encode(o.Message)
			c.m.peerBytes += int64(len(b))
		}
		for k, to := range c.m.controllers {
			if to == c || o.To != "" && o.To != to.name() || c.m.peerCut(c.n, k) {
				continue
			}
			c.m.peerSent++
			wait := int64(9.7e6 + c.rng.Float64()*15.3e6)
			c.m.after(wait, func() {
				if to.x != nil && to.peer != nil {
					to.say(to.peer.Receive(c.m.now, o.Message))
					to.drive()
				}
			})
		}
	}
}
