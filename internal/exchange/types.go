package exchange

import (
	"hash/maphash"
	"time"

	"masthill/control"
)

// Verdict is the kind of a final answer.
type Verdict int

// The final answers.
const (
	Stands  Verdict = iota // an office took the call
	Refused                // turned away; trying again is harmless
	Failed                 // given up
)

func (v Verdict) String() string { return [...]string{"stands", "refused", "failed"}[v] }

// Final is a call's one final answer.
type FinalAnswer struct {
	Verdict     Verdict
	Description []byte        // of the office, where the call stands
	Wait        time.Duration // how long the caller shall keep away; 0: no advice
}

// Setup is a call as a caller's side hands it over. Nothing in it may change afterwards.
type Setup struct {
	ID          string // 16 hex digits; offices know the call by it
	Owner       string // who may join the call again or end it
	Class       int
	Name        string // of the class
	Tenant      string
	Number      string
	Description []byte
	Dest        int // pool of first choice
	Retry       bool
	Again       bool
	Taken       time.Time // its last byte
	ExpiresAt   time.Time // its caller leaves
}

var sumSeed = maphash.MakeSeed()

// Sum tells two set-ups under one id apart: it is the same for one that was sent again.
func (s *Setup) Fingerprint() uint64 {
	var h maphash.Hash
	h.SetSeed(sumSeed)
	for _, part := range []string{s.Name, s.Tenant, s.Number} {
		h.WriteString(part)
		h.WriteByte(0)
	}
	h.Write(s.Description)
	return h.Sum64()
}

// Caller is where a call came from. Its methods are called by the core and must not block.
type Caller interface {
	Answer(id string, f FinalAnswer)
	Release(id string, cut bool) // the call stood and is over; cut: before its time
}

// Presence is what a front knows of the client of a call that waits for its answer.
type Presence int

// The states of a client.
const (
	Connected    Presence = iota // all that it had sent until a moment ago has been handled
	InputPending                 // older input of it waits to be read: a request to cancel may be among it
	Gone                         // it has closed its connection, or cancelled the request
)

// PresenceChecker is a Caller that is asked for a call's client before each attempt: word of a client that has gone may
// still be on its way to the core, or unread. Presence may be called from any goroutine and must not block.
type PresenceChecker interface {
	Presence(id string) Presence
}

// Desk is where a callers' side hands calls in; the Exchange is one.
type CallHandler interface {
	Submit(s Setup, from Caller)
	GiveUp(id, owner string, from Caller)
	HangUp(id, owner string)
	// Left tells that a caller is away and may come back to its call by Arrive: until then no attempt is sent.
	CallerDisconnected(id, owner string)
}

// Attempt is one set-up on its way to an office.
type Attempt struct {
	ID, Class, Number string
	Description       []byte
	Index             int // 0, 1, 2 ... within the call
	Server            uint64
	Wait              time.Duration // how long it is waited for
	// Presence tells whether the client is still there, for an attempt that waits before it is written. It may be called
	// from any goroutine and does not block.
	Presence func() Presence
}

// Office is one entry of the list of offices.
type Office struct {
	control.Entry
	Addr string
}

// Offices is the side of the offices. Its methods are called by the core and must not block.
type Offices interface {
	UpdateList(changed []Office, full bool)
	Invite(a Attempt)
	Cancel(server uint64, id string, n int)
	Bye(server uint64, id string, n int, cut bool)
	// Suspect tells that nothing came where something was due since that time; check: calls stand there.
	ReportSilence(server uint64, since time.Time, check bool)
}

// Ending is how an attempt or a standing call ended at an office.
type Result struct {
	Outcome control.Outcome
	Note    int
	WaitMS  int64
	Report  []float64 // in the order of the settings' fields; nil: none
}

// Record is one call for the store of record. A call that stands has two: the one with its answer has no end yet.
type Record struct {
	ID, Owner, Class, Tenant, Number string
	Verdict                          string
	Attempts                         int
	Server                           uint64
	Taken, Answered, Ended           time.Time
	Wait                             time.Duration
	Cut                              bool
}
