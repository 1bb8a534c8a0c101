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

// Entry is one server on the list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type hosts struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

type event struct {
	Pos   int64 `json:"pos"`
	Hosts hosts `json:"hosts"`
}

// List is the service that tells one instance the list of servers. Changes are told late.
type ListService struct {
	mu     sync.Mutex
	events []event
	due    []time.Time // when each event is told
	change chan struct{}
	l      net.Listener
	onTold func(e Entry, at time.Time)
}

// NewList makes the service with the list of the start. onTold, if any, hears of each entry as it becomes known.
func NewListService(first []Entry, onTold func(e Entry, at time.Time)) (*ListService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ListService{l: l, change: make(chan struct{}), onTold: onTold}
	s.events = []event{{1, hosts{1, true, first}}}
	s.due = []time.Time{time.Now()}
	return s, nil
}

// Addr is the service's address.
func (s *ListService) Addr() string { return s.l.Addr().String() }

// Change tells a changed entry after a delay.
func (s *ListService) AnnounceChange(e Entry, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Now().Add(late)
	if last := s.due[len(s.due)-1]; due.Before(last) { // in order, as they are numbered
		due = last
	}
	n := int64(len(s.events) + 1)
	s.events = append(s.events, event{n, hosts{n, false, []Entry{e}}})
	s.due = append(s.due, due)
	close(s.change)
	s.change = make(chan struct{})
	if s.onTold != nil {
		s.onTold(e, due)
	}
}

// Known is the list as told up to now, in the form of the configuration. The numbers go on from there.
func (s *ListService) KnownList() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	told := []event{}
	for k, e := range s.events {
		if !s.due[k].After(now) {
			told = append(told, e)
		}
	}
	text, _ := json.Marshal(map[string]any{"pos": len(told), "entries": told})
	return text
}

// Run serves until ctx ends.
func (s *ListService) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", s.stream)
	server := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(s.l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error { <-ctx.Done(); server.Close(); return nil })
	return g.Wait()
}

func (s *ListService) stream(w http.ResponseWriter, r *http.Request) {
	pos, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	flush := http.NewResponseController(w)
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	fmt.Fprint(w, ":\n\n")
	for {
		s.mu.Lock()
		change := s.change
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
		if flush.Flush() != nil {
			return
		}
		later := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
			later.Stop()
			return
		case <-later.C:
		case <-change:
		case <-comment.C:
			fmt.Fprint(w, ":\n\n")
		}
		later.Stop()
	}
}

// EntryOf is a server's entry in an instance's list.
func NewEntry(s *Server, instance, state string, started time.Time) Entry {
	e := Entry{ID: s.ID, Addr: s.Addr(instance), Cell: s.Cell, State: state, Weight: 1}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	return e
}
