package exchange

import "time"

const (
	// answerRetention is how long final answers are kept for callers that repeat a set-up: longer than any class's
	// deadline. At the highest call rates of one instance that is a few thousand answers. answerMemoryDivisor bounds
	// their descriptions as a fraction of the instance's memory, 1/24, and with bytesPerAnswer their number.
	answerRetention, answerMemoryDivisor, bytesPerAnswer = 30 * time.Second, 24, 1 << 10
)

// recordedAnswer is the final answer to a call, kept for callers that repeat its set-up.
type recordedAnswer struct {
	id, owner   string
	fingerprint uint64 // of the set-up
	answer      FinalAnswer
	attempted   bool // an attempt was made: sent again as a new call, it might run twice
	ended       bool // the call was established and has ended
	cut         bool
	at          int64
}

// answerTable holds recorded answers. Beyond its bounds it drops the oldest ones of calls without an attempt first: these
// can come in any number, from a client that sets calls up and cancels them, and do no harm if they are set up anew.
type answerTable struct {
	byID                   map[string]*recordedAnswer
	attempted, unattempted []*recordedAnswer // the oldest first
	maxAnswers, maxBytes   int
	bytes                  int // of the descriptions
}

// newAnswerTable makes a table for an instance with this much memory.
func newAnswerTable(memoryBytes int) *answerTable {
	maxBytes := memoryBytes / answerMemoryDivisor
	return &answerTable{byID: map[string]*recordedAnswer{}, maxAnswers: maxBytes / bytesPerAnswer, maxBytes: maxBytes}
}

// get returns the recorded answer to a call, or nil.
func (t *answerTable) get(id string) *recordedAnswer { return t.byID[id] }

func (t *answerTable) len() int { return len(t.attempted) + len(t.unattempted) }

// add records an answer at its time, and drops those that are too old or beyond the bounds.
func (t *answerTable) add(r *recordedAnswer) {
	t.byID[r.id] = r
	t.bytes += len(r.answer.Description)
	if r.attempted {
		t.attempted = append(t.attempted, r)
	} else {
		t.unattempted = append(t.unattempted, r)
	}
	for _, queue := range []*[]*recordedAnswer{&t.unattempted, &t.attempted} {
		for len(*queue) > 0 && (t.exceeded() || r.at-(*queue)[0].at > int64(answerRetention)) {
			t.dropOldest(queue)
		}
	}
}

func (t *answerTable) exceeded() bool { return t.len() > t.maxAnswers || t.bytes > t.maxBytes }

func (t *answerTable) dropOldest(queue *[]*recordedAnswer) {
	oldest := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	t.bytes -= len(oldest.answer.Description)
	if t.byID[oldest.id] == oldest { // else the id was used again
		delete(t.byID, oldest.id)
	}
}
