package caller

import "container/list"

// releaseTable holds the unconfirmed releases, the oldest first.
type releaseTable struct {
	queue list.List // of *release
	byID  map[string]*list.Element
}

func newReleaseTable() releaseTable { return releaseTable{byID: map[string]*list.Element{}} }

func (t *releaseTable) len() int { return len(t.byID) }

// get returns an unconfirmed release, or nil.
func (t *releaseTable) get(id string) *release {
	if e := t.byID[id]; e != nil {
		return e.Value.(*release)
	}
	return nil
}

func (t *releaseTable) add(r *release) { t.byID[r.id] = t.queue.PushBack(r) }

func (t *releaseTable) remove(r *release) { t.removeID(r.id) }

// removeID removes the release of a call, if there is one.
func (t *releaseTable) removeID(id string) {
	if e := t.byID[id]; e != nil {
		t.queue.Remove(e)
		delete(t.byID, id)
	}
}

// all returns the releases in order. The table may be changed while they are handled.
func (t *releaseTable) all() []*release {
	all := make([]*release, 0, t.len())
	for e := t.queue.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*release))
	}
	return all
}

// dropSent makes space by dropping the oldest release that has been sent, which callers need not confirm, or that a caller of
// another host has confirmed. It returns false if there is none.
func (t *releaseTable) dropSent() bool {
	for e := t.queue.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*release); r.current != nil || r.confirmedElsewhere {
			t.remove(r)
			return true
		}
	}
	return false
}
