package sip

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxQueueBytes bounds what waits for a peer to read: some thousand answers or set-ups, as hundreds may be due
	// in one moment, and little beside the 32 MB of the smallest instance. Beyond it the peer does not read.
	maxQueueBytes = 512 << 10
	// pauseBytes is what may wait while more is read from the same peer: one that asks faster than it reads its
	// answers waits itself.
	pauseBytes = 64 << 10
	// closedInterval is how often a reader that waits for its peer to read looks whether that has closed its side.
	closedInterval = 25 * time.Millisecond
)

// Queue holds the messages that wait for a peer to read, bounded in bytes.
type Queue struct {
	mu      sync.Mutex
	waiting [][]byte
	size    int           // bytes waiting or being written
	kick    chan struct{} // something waits
	drained chan struct{} // something was written
}

// NewQueue makes an empty queue.
func NewQueue() *Queue {
	return &Queue{kick: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
}

// Put queues one message and never blocks; false: the peer does not read.
func (q *Queue) Put(b []byte) bool {
	q.mu.Lock()
	fits := q.size+len(b) <= maxQueueBytes
	if fits {
		q.waiting, q.size = append(q.waiting, b), q.size+len(b)
	}
	q.mu.Unlock()
	if fits {
		signal(q.kick)
	}
	return fits
}

// Ready gets a signal when something waits.
func (q *Queue) Ready() <-chan struct{} { return q.kick }

// Write has all that waits written, in the order it was put. A batch counts as waiting until it is written.
func (q *Queue) Write(write func(batch [][]byte) error) error {
	for {
		q.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		q.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		size := 0
		for _, b := range batch {
			size += len(b)
		}
		err := write(batch)
		q.mu.Lock()
		q.size -= size
		q.mu.Unlock()
		signal(q.drained)
		if err != nil {
			return err
		}
	}
}

// Room waits until the peer has read most of what was put. It gives io.EOF as soon as closed tells that the peer has
// closed its side: that stands unread behind what the peer sent before.
func (q *Queue) WaitForRoom(ctx context.Context, closed func() bool) error {
	if q.low() {
		return nil
	}
	look := time.NewTicker(closedInterval)
	defer look.Stop()
	for !q.low() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.drained:
		case <-look.C:
			if closed() {
				return io.EOF
			}
		}
	}
	return nil
}

// low tells whether little enough waits for the peer to be asked for more.
func (q *Queue) low() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size <= pauseBytes
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
