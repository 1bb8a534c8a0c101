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

// An instance that sees two calls a second, and forty servers that are silent: it learns nothing of any one of them, and
// goes on sending; with goodput it soon has next to nothing out. Each call still has one answer, and each attempt one end.
func TestGoodputInAJam(t *testing.T) {
	sent := map[bool]int{}
	for _, on := range []bool{false, true} {
		b := newBed(t)
		if on {
			b.chain = join.Chain{goodput.New(goodput.Settings{Control: settings()}, 1, b.now, nil)}
			b.module.ExcludeServers(func(s uint64) bool { ok, _, _ := b.chain.HasRoom(b.now, s); return !ok })
		}
		var list []Office
		for k := range 40 {
			list = append(list, office(uint64(10+k), k%2, control.Serving, 0))
		}
		b.members(list, true)
		calls := 0
		offer := func(d time.Duration, answered bool) (invites, answers, most int) {
			b.said = nil
			for end := b.at.Add(d); b.at.Before(end); {
				calls++
				b.call(fmt.Sprint("c", calls), 3*time.Second)
				if answered {
					b.pass(80 * ms)
					for _, line := range b.said[max(0, len(b.said)-1):] {
						var id string
						var n int
						var server uint64
						if _, err := fmt.Sscanf(line, "invite %s %d at %d", &id, &n, &server); err == nil {
							b.stood(server, id, n, nil)
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
				b.pass(400 * ms)
			}
			for _, line := range b.said {
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
		b.pass(4 * time.Second)
		if b.open != 0 {
			t.Errorf("%d calls without an answer", b.open)
		}
		answered := map[string]int{}
		for _, line := range b.said {
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
