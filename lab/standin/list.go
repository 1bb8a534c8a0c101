package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Entry is one server in the list of servers.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// serverList is the body of an event: the full list, or the changed entries.
type serverList struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// event is one numbered event of the journal.
type event struct {
	Pos   int64      `json:"pos"`
	Hosts serverList `json:"hosts"`
}

// ListService is the service that sends one instance the list of servers. Changes are announced with a delay.
type ListService struct {
	mu          sync.Mutex
	events      []event
	due         []time.Time   // when each event is announced
	changed     chan struct{} // closed, and replaced, when an event is added
	listener    net.Listener
	onAnnounced func(e Entry, at time.Time)
}

// NewListService makes the service with the initial list. onAnnounced, if not nil, is called for each change as it is added,
// with the time when it will be announced.
func NewListService(initial []Entry, onAnnounced func(e Entry, at time.Time)) (*ListService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ListService{listener: l, changed: make(chan struct{}), onAnnounced: onAnnounced}
	s.events = []event{{1, serverList{1, true, initial}}}
	s.due = []time.Time{time.Now()}
	return s, nil
}

// Addr is the service's address.
func (s *ListService) Addr() string { return s.listener.Addr().String() }

// AnnounceChange announces a changed entry after a delay, but not before earlier changes.
func (s *ListService) AnnounceChange(e Entry, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Now().Add(delay)
	if last := s.due[len(s.due)-1]; due.Before(last) { // events are announced in the order of their numbers
		due = last
	}
	n := int64(len(s.events) + 1)
	s.events = append(s.events, event{n, serverList{n, false, []Entry{e}}})
	s.due = append(s.due, due)
	close(s.changed)
	s.changed = make(chan struct{})
	if s.onAnnounced != nil {
		s.onAnnounced(e, due)
	}
}

// KnownList gives the events announced so far, in the form that the platform's configuration has them.
func (s *ListService) KnownList() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	announced := []event{}
	for k, e := range s.events {
		if !s.due[k].After(now) {
			announced = append(announced, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"pos": len(announced), "entries": announced})
	return text
}

// Run serves until ctx ends.
func (s *ListService) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", s.serveJournal)
	server := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); server.Close(); return nil })
	return g.Wait()
}

// serveJournal sends the events after Last-Event-ID as server-sent events, each when it is due, and a comment every second
// to keep the connection alive.
func (s *ListService) serveJournal(w http.ResponseWriter, r *http.Request) {
	pos, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	response := http.NewResponseController(w)
	keepAlive := time.NewTicker(time.Second)
	defer keepAlive.Stop()
	fmt.Fprint(w, ":\n\n")
	for {
		s.mu.Lock()
		changed := s.changed
		wait := time.Hour
		for pos < len(s.events) {
			if wait = time.Until(s.due[pos]); wait > 0 {
				break
			}
			text, _ := json.Marshal(s.events[pos])
			pos++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", pos, text)
			wait = time.Hour
		}
		s.mu.Unlock()
		if response.Flush() != nil {
			return
		}
		nextDue := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
			nextDue.Stop()
			return
		case <-nextDue.C:
		case <-changed:
		case <-keepAlive.C:
			fmt.Fprint(w, ":\n\n")
		}
		nextDue.Stop()
	}
}

// NewEntry makes a server's entry for an instance's list.
func NewEntry(s *Server, instance, state string, startedAt time.Time) Entry {
	e := Entry{ID: s.ID, Addr: s.Addr(instance), Cell: s.Cell, State: state, Weight: 1}
	if !startedAt.IsZero() {
		e.Started = startedAt.UnixMilli()
	}
	return e
}
