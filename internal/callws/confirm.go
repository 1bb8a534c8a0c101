package callws

import (
	"context"
	"errors"
	"sync"
)

// confirmations holds the messages of a connection that may not have been read yet. A peer reads in order: once it has
// answered a ping, it has read all that was written before.
type confirmations struct {
	mu      sync.Mutex
	unread  []confirmation
	written chan struct{} // something has been written
}

// confirmation is a message that has not been shown to be read.
type confirmation struct {
	position uint64 // in the write queue
	onRead   func()
}

// sendConfirmed is send for a message that must not be lost: onRead is called once the peer has read it. If the
// connection ends before, onRead is not called.
func (c *conn) sendConfirmed(m message, onRead func()) {
	b, err := encode(m)
	if err != nil {
		return // no message that is sent here can fail
	}
	c.confirms.mu.Lock()
	defer c.confirms.mu.Unlock()
	position, ok := c.out.PutAt(b)
	if !ok {
		c.queueFull.Store(true)
		c.Close()
		return
	}
	c.confirms.unread = append(c.confirms.unread, confirmation{position, onRead})
}

// takeWritten removes and returns the confirmations of messages that have been written.
func (c *conn) takeWritten() (taken []confirmation) {
	c.confirms.mu.Lock()
	defer c.confirms.mu.Unlock()
	written := c.out.Written()
	k := 0
	for k < len(c.confirms.unread) && c.confirms.unread[k].position <= written {
		k++
	}
	taken = c.confirms.unread[:k:k]
	c.confirms.unread = c.confirms.unread[k:]
	return taken
}

// confirm pings the peer after each write of messages that must be confirmed, and reports them as read when it answers.
func (c *conn) confirm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.confirms.written:
		}
		due := c.takeWritten()
		if len(due) == 0 {
			continue
		}
		switch err := c.awaitPong(ctx); {
		case err == nil, c.closeAnswered.Load():
			reportRead(due)
		case errors.Is(err, errNoPong):
			return err
		default:
			return nil // the reader returns the cause
		}
	}
}

// reportClosed reports all that was written as read, as the peer has answered the close that followed.
func (c *conn) reportClosed() {
	c.closeAnswered.Store(true)
	reportRead(c.takeWritten())
}

func reportRead(all []confirmation) {
	for _, c := range all {
		c.onRead()
	}
}
