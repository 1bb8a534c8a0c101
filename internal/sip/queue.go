package sip

import (
	"context"
	"io"
	"runtime"
	"sync"
	"time"
)

const (
	// maxQueueBytes bounds the data queued for a peer. It holds some thousand answers or set-ups, as hundreds may be due at
	// the same moment, and is little compared with the 32 MB of the smallest instance. A peer with more queued counts as
	// not reading.
	maxQueueBytes = 512 << 10
	// readPauseBytes is how much may be queued while more input is read from the same peer: a peer that sends requests
	// faster than it reads the answers is not read from.
	readPauseBytes = 64 << 10
	// closeCheckInterval is how often a reader that waits for its peer to read checks whether the peer has closed its side.
	closeCheckInterval = 25 * time.Millisecond
	// yieldAfter is how long a writer may take for a batch before it lets others run.
	yieldAfter = time.Millisecond
)

// Queue holds the messages to be written to a peer, bounded in bytes.
type Queue struct {
	mu      sync.Mutex
	waiting [][]byte
	size    int           // bytes waiting or being written
	queued  uint64        // messages queued so far
	written uint64        // messages written so far
	ready   chan struct{} // a message was queued
	drained chan struct{} // something was written
}

// NewQueue creates an empty queue.
func NewQueue() *Queue {
	return &Queue{ready: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
}

// Put queues one message and never blocks. It returns false if the queue is full, as the peer does not read.
func (q *Queue) Put(b []byte) bool {
	_, ok := q.PutAt(b)
	return ok
}

// PutAt is Put, and also returns the message's position: it has been written once Written has reached that.
func (q *Queue) PutAt(b []byte) (position uint64, ok bool) {
	q.mu.Lock()
	fits := q.size+len(b) <= maxQueueBytes
	if fits {
		q.waiting, q.size = append(q.waiting, b), q.size+len(b)
		q.queued++
		position = q.queued
	}
	q.mu.Unlock()
	if fits {
		signal(q.ready)
	}
	return position, fits
}

// Empty tells whether all that was queued has been written.
func (q *Queue) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size == 0
}

// Written returns how many messages have been written.
func (q *Queue) Written() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.written
}

// Ready receives a value when messages have been queued.
func (q *Queue) Ready() <-chan struct{} { return q.ready }

// Write passes all queued messages to write, in batches and in order. A batch counts as queued until it has been
// written.
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
		began := time.Now()
		err := write(batch)
		if time.Since(began) >= yieldAfter {
			runtime.Gosched() // or the writer and a busy reader keep a processor core to themselves
		}
		q.mu.Lock()
		q.size -= size
		if err == nil {
			q.written += uint64(len(batch))
		}
		q.mu.Unlock()
		signal(q.drained)
		if err != nil {
			return err
		}
	}
}

// WaitForRoom waits until at most readPauseBytes are queued. It returns io.EOF as soon as closed tells that the peer
// has closed its side, which no read shows while there is unread input before the close.
func (q *Queue) WaitForRoom(ctx context.Context, closed func() bool) error {
	if q.hasRoom() {
		return nil
	}
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for !q.hasRoom() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.drained:
		case <-ticker.C:
			if closed() {
				return io.EOF
			}
		}
	}
	return nil
}

// hasRoom tells whether so little is queued that more may be read from the peer.
func (q *Queue) hasRoom() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size <= readPauseBytes
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
