package office

import (
	"testing"
	"time"
)

func TestAnswerTimeoutFollowsDelay(t *testing.T) {
	const quick, slow, straggler = 60 * time.Millisecond, 470 * time.Millisecond, 2 * time.Second
	for _, tc := range []struct {
		name        string
		delays      []time.Duration
		least, most time.Duration
	}{
		{"no answer yet", nil, minAnswerTimeout, minAnswerTimeout},
		{"quick", []time.Duration{quick, quick, quick, quick}, minAnswerTimeout, minAnswerTimeout},
		{"one slow answer among quick ones", []time.Duration{quick, quick, quick, quick, straggler}, minAnswerTimeout, 400 * time.Millisecond},
		{"slow", []time.Duration{slow, slow, slow, slow}, 2 * slow * 9 / 10, maxAnswerTimeout},
		{"very slow", []time.Duration{straggler, straggler, straggler, straggler}, maxAnswerTimeout * 8 / 10, maxAnswerTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d answerDelay
			for _, delay := range tc.delays {
				d.add(delay)
			}
			if got := d.timeout(); got < tc.least || got > tc.most {
				t.Errorf("timeout %v, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}
