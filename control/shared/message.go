package shared

import (
	"masthill/control/shared/count"
	"masthill/control/shared/judge"
	"masthill/control/shared/lease"
)

// Message is one message between instances: a lease's, or what an instance has to tell all.
type Message struct {
	Lease *lease.Message `codec:"l,omitempty"`
	Count *count.Message `codec:"c,omitempty"`
	Judge *judge.Message `codec:"j,omitempty"`
}

// Out is a message to a member, or to all where To is empty.
type Out struct {
	To string
	Message
}

const (
	// tellEvery is how often an instance tells all others its counts and what it saw, in a fleet of tellFor members at most;
	// larger ones tell more rarely, so that what each says and hears stays the same: some 130 datagrams a second. Passing
	// news on from member to member would cost more than that at every size up to 1,000, and be later. newsEvery is the least time between two tellings that
	// bad news asks for.
	tellEvery = second / 2
	tellFor   = 64
	newsEvery = second / 5
)

// Hear takes a message of another instance, and gives the answers.
func (m *Shared) Hear(now int64, msg Message) (out []Out) {
	m.heardAt = max(m.heardAt, now)
	m.turn(now)
	if msg.Lease != nil {
		for _, o := range m.lease.Receive(now, *msg.Lease) {
			out = append(out, leased(o))
		}
	}
	if msg.Count != nil {
		m.count.Receive(now, *msg.Count)
	}
	if msg.Judge != nil {
		m.board.Receive(now, *msg.Judge)
	}
	return out
}

func leased(o lease.Outgoing) Out { return Out{o.To, Message{Lease: &o.Message}} }

// Tick does what is due and gives what is to be said. It wants to be called about ten times a second; members is how many
// there are, as far as is known.
func (m *Shared) Tick(now int64, members int) (out []Out) {
	m.turn(now)
	m.look(now)
	m.wants(now)
	for _, o := range m.lease.Tick(now) {
		out = append(out, leased(o))
	}
	every := tellEvery * int64(max(1, (members+tellFor-1)/tellFor))
	var msg Message
	if now-m.countAt >= every {
		c := m.count.Broadcast(now)
		msg.Count, m.countAt = &c, now
	}
	if now-m.judgeAt >= every || m.news && now-m.judgeAt >= newsEvery {
		if j := m.board.Broadcast(now); len(j.Reports) > 0 {
			msg.Judge = &j
		}
		m.judgeAt, m.news = now, false
	}
	if msg.Count != nil || msg.Judge != nil {
		out = append(out, Out{"", msg})
	}
	return out
}
