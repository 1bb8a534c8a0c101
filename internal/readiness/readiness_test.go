package readiness

import (
	"context"
	"testing"
	"testing/synctest"
)

// Checks the phase after sequences of calls: s is MarkStarted, d is Drain, r is Resume and e is End.
func TestTransitions(t *testing.T) {
	for steps, want := range map[string]Phase{
		"": Starting, "s": Ready, "d": Starting, "ds": Draining, "sd": Draining, "sdd": Draining, "sdr": Ready, "dsr": Ready, "drs": Ready,
		"sdrd": Draining, "sddr": Ready, "sr": Ready, "e": Ending, "se": Ending, "sde": Ending, "ser": Ending, "sedr": Ending, "es": Ending,
	} {
		var s State
		for _, step := range steps {
			switch step {
			case 's':
				s.MarkStarted()
			case 'd':
				s.Drain()
			case 'r':
				s.Resume()
			case 'e':
				s.End()
			}
		}
		if s.Phase() != want || s.Ready() != (want == Ready) {
			t.Errorf("%q: %s, want %s", steps, s.Phase(), want)
		}
	}
}

func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s State
		got := make(chan Phase, 10)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for last := Starting; ctx.Err() == nil; {
				last = s.WaitForChange(ctx, last)
				got <- last
			}
		}()
		synctest.Wait()
		for _, do := range []func(){s.MarkStarted, func() { s.Drain() }, func() { s.Resume() }, s.End, cancel} {
			do()
			synctest.Wait()
		}
		for _, want := range []Phase{Ready, Draining, Ready, Ending, Ending} {
			if p := <-got; p != want {
				t.Errorf("%s, want %s", p, want)
			}
		}
	})
}
