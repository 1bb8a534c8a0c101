package caller

import (
	"time"
)

// HeldRelease is a release that an ending process held for its caller, for the next process.
type HeldRelease struct {
	Call        string    `json:"call"`
	Message     []byte    `json:"message"`
	CallerKnown bool      `json:"caller_known"`
	Host        string    `json:"host"`
	Tenant      string    `json:"tenant"`
	CreatedAt   time.Time `json:"created_at"`
}

// HandOverReleases hands the releases that wait for their callers over to the next process, as no connection is left here. It
// logs them if that fails.
func (s *Server) HandOverReleases() {
	waiting := s.takeWaitingReleases()
	if len(waiting) == 0 {
		return
	}
	held := make([]HeldRelease, len(waiting))
	for k, r := range waiting {
		held[k] = HeldRelease{Call: r.id, Message: r.message, CallerKnown: r.client.known, Host: r.client.host, Tenant: r.client.tenant, CreatedAt: r.createdAt}
	}
	if s.HandOver != nil && s.HandOver(held) {
		return
	}
	for _, r := range waiting {
		s.logUndelivered(r)
	}
}

// takeWaitingReleases removes all releases and returns those that are not on an open connection and nobody has confirmed.
func (s *Server) takeWaitingReleases() (waiting []*release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.releases.all() {
		s.releases.remove(r)
		if r.current == nil && !r.confirmedElsewhere {
			waiting = append(waiting, r)
		}
	}
	return waiting
}

// AdoptReleases takes the releases over that the previous process held. Each keeps its age; the ones that this process knows of
// by itself are left out.
func (s *Server) AdoptReleases(held []HeldRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range held {
		if s.transactions[h.Call] != nil || s.releases.get(h.Call) != nil {
			continue
		}
		r := &release{id: h.Call, message: h.Message, client: client{h.CallerKnown, h.Host, h.Tenant}, createdAt: h.CreatedAt}
		if time.Since(r.createdAt) >= releaseTimeout || s.releases.len() >= maxUnconfirmedReleases {
			s.logUndelivered(r)
			continue
		}
		s.releases.add(r)
		s.scheduleReleaseRetry()
		s.routeRelease(r)
	}
}
