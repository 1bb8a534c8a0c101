package callws

import (
	"slices"
	"time"
)

// HeldRelease is a release that an ending process held for its caller, for the next process.
type HeldRelease struct {
	Key       string    `json:"key"`
	Identity  string    `json:"identity"`
	ID        string    `json:"id"` // the caller's own id of the call
	Cut       bool      `json:"cut"`
	CreatedAt time.Time `json:"created_at"`
}

// HandOverReleases hands the releases that wait for their callers over to the next process, as no socket is left here. It logs
// them if that fails.
func (f *Front) HandOverReleases() {
	waiting := f.takeWaitingReleases()
	if len(waiting) == 0 {
		return
	}
	held := make([]HeldRelease, len(waiting))
	for k, r := range waiting {
		held[k] = HeldRelease{Key: r.key, Identity: r.identity, ID: r.message.ID, Cut: *r.message.Cut, CreatedAt: r.createdAt}
	}
	if f.HandOver != nil && f.HandOver(held) {
		return
	}
	for _, r := range waiting {
		f.logUndelivered(r)
	}
}

// takeWaitingReleases removes all releases and returns those that are not on an open socket.
func (f *Front) takeWaitingReleases() (waiting []*release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.releases {
		if r.current == nil {
			waiting = append(waiting, r)
		}
	}
	f.releases = nil
	return waiting
}

// AdoptReleases takes the releases over that the previous process held. Each keeps its age; the ones that this process knows of
// by itself are left out.
func (f *Front) AdoptReleases(held []HeldRelease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range held {
		known := f.calls[h.Key] != nil || slices.ContainsFunc(f.releases, func(r *release) bool { return r.key == h.Key })
		if known || len(f.calls)+len(f.releases) >= maxCalls {
			continue
		}
		r := &release{key: h.Key, identity: h.Identity, message: releasedMessage(h.ID, h.Cut), createdAt: h.CreatedAt}
		f.releases = append(f.releases, r) // sweepReleases drops those that are too old
		f.routeRelease(r)
	}
}
