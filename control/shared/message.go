package shared

import (
	"masthill/control/shared/count"
	"masthill/control/shared/lease"
	"masthill/control/shared/outlier"
)

const (
	// broadcastInterval is how often an instance broadcasts its counts and its health report in a fleet of fullRateMembers at
	// most. In a larger fleet it does so less often, so that the traffic of one instance stays the same: some 130 datagrams a
	// second. Gossiping the messages from member to member would cost more at every size up to 1,000, and take longer.
	broadcastInterval = second / 2
	fullRateMembers   = 64
	// urgentInterval is the least time between two health reports when the newer one has bad observations.
	urgentInterval = second / 5
)

// Message is one message between instances: a message of package lease to one instance, or a broadcast.
type Message struct {
	Lease  *lease.Message   `codec:"l,omitempty"`
	Count  *count.Message   `codec:"c,omitempty"`
	Health *outlier.Message `codec:"j,omitempty"`
}

// Outgoing is a message and the name of its receiver; an empty name stands for all other members.
type Outgoing struct {
	To string
	Message
}

func outgoingLease(o lease.Outgoing) Outgoing { return Outgoing{o.To, Message{Lease: &o.Message}} }

// Receive handles a message of another instance and returns the messages to send in answer.
func (m *Module) Receive(now int64, msg Message) (outgoing []Outgoing) {
	m.lastHeardAt = max(m.lastHeardAt, now)
	m.updateState(now)
	if msg.Lease != nil {
		for _, o := range m.lease.Receive(now, *msg.Lease) {
			outgoing = append(outgoing, outgoingLease(o))
		}
	}
	if msg.Count != nil {
		m.count.Receive(now, *msg.Count)
	}
	if msg.Health != nil {
		m.detector.Receive(now, *msg.Health)
	}
	return outgoing
}

// Tick does what is due and returns the messages to send. It should be called about ten times a second. members is the
// number of members known.
func (m *Module) Tick(now int64, members int) (outgoing []Outgoing) {
	m.updateState(now)
	m.reportSilent(now)
	m.requestBudgets(now)
	for _, o := range m.lease.Tick(now) {
		outgoing = append(outgoing, outgoingLease(o))
	}
	if msg := m.broadcast(now, members); msg.Count != nil || msg.Health != nil {
		outgoing = append(outgoing, Outgoing{"", msg})
	}
	return outgoing
}

// broadcast makes the message for all members, with the parts that are due.
func (m *Module) broadcast(now int64, members int) (msg Message) {
	interval := broadcastInterval * int64(max(1, (members+fullRateMembers-1)/fullRateMembers))
	if now-m.countSentAt >= interval {
		counts := m.count.Broadcast(now)
		msg.Count = &counts
		m.countSentAt = now
	}
	if now-m.reportSentAt >= interval || m.urgent && now-m.reportSentAt >= urgentInterval {
		if report := m.detector.Broadcast(now); len(report.Reports) > 0 {
			msg.Health = &report
		}
		m.reportSentAt, m.urgent = now, false
	}
	return msg
}
