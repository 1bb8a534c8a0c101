package exchange

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"masthill/control"
	"masthill/control/goodput"
	"masthill/control/join"
)

// With two calls a second and forty silent servers, an instance learns nothing about any single server and goes on
// sending. With goodput it soon has almost no attempts in flight. Each call still gets one answer, and each attempt one
// end.
func TestGoodputUnderSilentServers(t *testing.T) {
	sent := map[bool]int{}
	for _, on := range []bool{false, true} {
		b := newHarness(t)
		if on {
			b.modules = join.Chain{goodput.New(goodput.Settings{Control: settings()}, 1, b.now, nil)}
			b.controller.ExcludeServers(func(s uint64) bool { ok, _, _ := b.modules.HasCapacity(b.now, s); return !ok })
		}
		var list []Office
		for k := range 40 {
			list = append(list, newOffice(uint64(10+k), k%2, control.Serving, 0))
		}
		b.updateOffices(list, true)
		calls := 0
		offer := func(d time.Duration, answered bool) (invites, answers, most int) {
			b.outputs = nil
			for end := b.testTime.Add(d); b.testTime.Before(end); {
				calls++
				b.submitCall(fmt.Sprint("c", calls), 3*time.Second)
				if answered {
					b.advance(80 * ms)
					for _, line := range b.outputs[max(0, len(b.outputs)-1):] {
						var id string
						var n int
						var server uint64
						if _, err := fmt.Sscanf(line, "invite %s %d at %d", &id, &n, &server); err == nil {
							b.attemptEstablished(server, id, n, nil)
						}
					}
				}
				out := 0
				for _, cl := range b.calls {
					if cl.inFlight {
						out++
					}
				}
				most = max(most, out)
				b.advance(400 * ms)
			}
			for _, line := range b.outputs {
				if strings.HasPrefix(line, "invite") {
					invites++
				} else if strings.HasPrefix(line, "answer") {
					answers++
				}
			}
			return invites, answers, most
		}
		if n, _, _ := offer(10*time.Second, true); n < 20 {
			t.Fatalf("%d sent before the jam", n)
		}
		offer(10*time.Second, false)
		n, _, most := offer(20*time.Second, false)
		sent[on] = n
		if on && most > 3 {
			t.Errorf("%d out at once in the jam", most)
		}
		b.advance(4 * time.Second)
		if b.unanswered != 0 {
			t.Errorf("%d calls without an answer", b.unanswered)
		}
		answered := map[string]int{}
		for _, line := range b.outputs {
			if strings.HasPrefix(line, "answer ") {
				answered[strings.Fields(line)[1]]++
			}
		}
		for id, n := range answered {
			if n != 1 {
				t.Errorf("%s has %d answers", id, n)
			}
		}
	}
	if sent[true]*2 > sent[false] {
		t.Errorf("%d set-ups sent in the jam, %d without goodput", sent[true], sent[false])
	}
	t.Log(sent)
}
