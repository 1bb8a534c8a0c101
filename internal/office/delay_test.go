package office

import (
	"testing"
	"time"
)

func TestSilenceGoesByTheDelayOfAnswers(t *testing.T) {
	const quick, slow, straggler = 60 * time.Millisecond, 470 * time.Millisecond, 2 * time.Second
	for _, tc := range []struct {
		name        string
		delays      []time.Duration
		least, most time.Duration
	}{
		{"none yet", nil, silenceLeast, silenceLeast},
		{"quick", []time.Duration{quick, quick, quick, quick}, silenceLeast, silenceLeast},
		{"one straggler among quick ones", []time.Duration{quick, quick, quick, quick, straggler}, silenceLeast, 400 * time.Millisecond},
		{"slow", []time.Duration{slow, slow, slow, slow}, 2 * slow * 9 / 10, silenceMost},
		{"stragglers alone", []time.Duration{straggler, straggler, straggler, straggler}, silenceMost * 8 / 10, silenceMost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d answerDelay
			for _, delay := range tc.delays {
				d.add(delay)
			}
			if got := d.silence(); got < tc.least || got > tc.most {
				t.Errorf("a silence of %v counts as dead, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}
