package peers

import (
	"context"
	"time"

	"masthill/control/shared"
)

// staleAfter is how old a message may be that is still worth sending, or how long this process may have stood still for
// what it reads then to be news: what waited in a frozen process tells of a time long past as if it were now.
const staleAfter = time.Second

// hearing brings the module what the others say.
func (p *Peers) hearing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-p.in:
			var m shared.Message
			if err := decode(one[0].b, &m); err != nil {
				p.unread.Add(1)
				continue
			}
			if p.silent() {
				continue
			}
			if m.Lease == nil && (time.Since(one[0].at) > staleAfter || p.stoodStill()) {
				p.dropped.Add(1)
				continue
			}
			if m.Count != nil {
				p.mu.Lock()
				if p.members[m.Count.From.Name] != nil {
					p.last[m.Count.From.Name] = time.Now()
				}
				p.mu.Unlock()
			}
			if !p.o.Do(func(now int64) { p.send(p.o.Module.Hear(now, m)) }) {
				p.dropped.Add(1)
			}
		}
	}
}
