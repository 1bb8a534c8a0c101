package exchange

import (
	"hash/maphash"
	"time"

	"masthill/control"
)

// AnswerKind is the kind of a final answer.
type AnswerKind int

// The kinds of final answers.
const (
	Established AnswerKind = iota // an office accepted the call; it is established
	Refused                       // not accepted; trying again is harmless
	Failed                        // abandoned
)

// String returns the name of the kind in logs and records.
func (v AnswerKind) String() string { return [...]string{"stands", "refused", "failed"}[v] }

// FinalAnswer is the one final answer to a call.
type FinalAnswer struct {
	Kind        AnswerKind
	Description []byte        // of the office, if the call is established
	RetryAfter  time.Duration // before the caller should try again; 0: no advice
}

// Setup is a call as the callers' side submits it. It must not be modified afterwards.
type Setup struct {
	ID          string // 16 hex digits, which identify the call at offices
	Owner       string // who may rejoin the call or end it
	Class       int
	ClassName   string
	Tenant      string
	Number      string
	Description []byte
	FirstChoice int       // preferred pool; -1: none
	Redialed    bool      // the caller redials
	RepeatFlag  bool      // the caller's own mark of a repeated call; decisions do not use it
	ReceivedAt  time.Time // when its last byte was received
	ExpiresAt   time.Time // until when the caller waits
}

var fingerprintSeed = maphash.MakeSeed()

// Fingerprint distinguishes set-ups with the same id: it is the same for a set-up that was repeated.
func (s *Setup) Fingerprint() uint64 {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for _, part := range []string{s.ClassName, s.Tenant, s.Number} {
		h.WriteString(part)
		h.WriteByte(0)
	}
	h.Write(s.Description)
	return h.Sum64()
}

// Caller is the origin of a call. Its methods are called by the core and must not block.
type Caller interface {
	// Answer delivers the final answer to a call.
	Answer(id string, answer FinalAnswer)
	// Release reports that an established call has ended; cut: abnormally.
	Release(id string, cut bool)
}

// Presence is the state, as far as a front end knows, of the client of a call that waits for its answer.
type Presence int

// The states of a client.
const (
	Connected    Presence = iota // everything it had sent until a moment ago has been handled
	InputPending                 // older input is still unread, possibly a request to cancel
	Gone                         // it has closed its connection or cancelled the request
)

// PresenceChecker is a Caller whose Presence is called before each attempt, as the event that a client has
// gone may still be queued for the core or unread. Presence may be called from any goroutine and must not block.
type PresenceChecker interface {
	Presence(id string) Presence
}

// AnswerChecker is a Caller whose CanDeliver is asked before a call is answered as established, as the front end's protocol
// bounds the size of a message. CanDeliver is called by the core and must not block.
type AnswerChecker interface {
	CanDeliver(id string, answer FinalAnswer) bool
}

// CallHandler takes the calls of a callers' side. Exchange implements it.
type CallHandler interface {
	// Submit hands over a set-up. A repeated one of the same owner joins its call or gets the recorded answer.
	Submit(s Setup, caller Caller)
	// GiveUp reports that a caller no longer waits for its answer. With a Caller given, it has no effect once the call
	// has been joined from another one.
	GiveUp(id, owner string, caller Caller)
	// HangUp reports that a caller ended its established call.
	HangUp(id, owner string)
	// CallerDisconnected reports that a caller has disconnected and may rejoin its call by Submit; until then no
	// attempt is sent.
	CallerDisconnected(id, owner string)
}

// Attempt is one set-up sent to an office.
type Attempt struct {
	ID, Class, Number string
	Description       []byte
	Index             int // 0, 1, 2 ... within the call
	Server            uint64
	Timeout           time.Duration // until the attempt times out
	// Presence returns the client's presence, for an attempt that is queued before it is written. It may be called from
	// any goroutine and does not block.
	Presence func() Presence
}

// Office is one entry of the list of offices.
type Office struct {
	control.Entry
	Addr string
}

// Offices is the offices' side. Its methods are called by the core and must not block.
type Offices interface {
	// UpdateList hands over a change of the list of offices, or the full list.
	UpdateList(changed []Office, full bool)
	// Invite sends an attempt to its office.
	Invite(a Attempt)
	// Cancel gives up attempt n of a call.
	Cancel(server uint64, id string, n int)
	// Bye releases the call that attempt n established; cut: abnormally.
	Bye(server uint64, id string, n int, cut bool)
	// ReportSilence reports that since a time nothing was received although something was due. check: calls are
	// established there, so the connection must be checked.
	ReportSilence(server uint64, since time.Time, check bool)
}

// Result is how an attempt or an established call ended at an office.
type Result struct {
	Outcome control.Outcome
	Note    int // as the office sent it
	WaitMS  int64
	Report  []float64 // in the order of the settings' fields; nil: none
}

// Record is one call for the store. An established call has two records, of which the first, written with the answer,
// has no end.
type Record struct {
	ID, Owner, Class, Tenant, Number string
	AnswerKind                       string // the text of an AnswerKind, or "left" if the caller gave up
	Attempts                         int
	Server                           uint64
	ReceivedAt, AnsweredAt, EndedAt  time.Time
	RetryAfter                       time.Duration
	Cut                              bool
}
