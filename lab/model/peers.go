package model

import (
	"time"

	"masthill/control/join"
	"masthill/control/shared"
	"masthill/control/shared/outlier"
	"masthill/internal/peers"
)

// peerTickInterval is the interval of an instance's ticks, as in internal/peers.
const peerTickInterval = int64(100e6)

// arePartitioned tells whether messages from one controller to another are lost now.
func (m *model) arePartitioned(from, to int) bool {
	return m.PeersPartitioned != nil && m.PeersPartitioned(time.Duration(m.now-start), from, to)
}

// startPeerTicks finds the module that exchanges messages with other controllers and has it tick while the process runs.
func (c *controller) startPeerTicks(chain join.Chain) {
	c.peers = nil
	for _, module := range chain {
		if s, ok := module.(*shared.Module); ok {
			c.peers = s
		}
	}
	if c.peers == nil {
		return
	}
	generation := c.generation
	var tick func()
	tick = func() {
		if c.generation != generation || c.exchange == nil {
			return
		}
		c.sendToPeers(c.peers.Tick(c.model.now, len(c.model.controllers)))
		c.model.scheduleAfter(peerTickInterval, tick)
	}
	c.model.scheduleAfter(c.rng.Int64N(peerTickInterval), tick)
}

// falseReports is a message that reports every server as dead.
func (c *controller) falseReports() *outlier.Message {
	m := &outlier.Message{From: c.name(), Machine: c.name()}
	for _, s := range c.model.current {
		m.Reports = append(m.Reports, outlier.Report{Server: s.id, Kind: outlier.Dead, Streak: 99})
	}
	return m
}

// sendToPeers sends messages to their receivers, each after a random delay.
func (c *controller) sendToPeers(outgoing []shared.Outgoing) {
	if c.index+1 == c.model.FalseReporter {
		outgoing = append(outgoing, shared.Outgoing{Message: shared.Message{Health: c.falseReports()}})
	}
	for _, o := range outgoing {
		if c.model.PeerBytes {
			b, _ := peers.Encode(o.Message)
			c.model.peerBytes += int64(len(b))
		}
		for k, to := range c.model.controllers {
			if to == c || o.To != "" && o.To != to.name() || c.model.arePartitioned(c.index, k) {
				continue
			}
			c.model.peerMessages++
			wait := int64(9.7e6 + c.rng.Float64()*15.3e6)
			c.model.scheduleAfter(wait, func() {
				if to.exchange != nil && to.peers != nil {
					to.sendToPeers(to.peers.Receive(c.model.now, o.Message))
					to.runDue()
				}
			})
		}
	}
}
