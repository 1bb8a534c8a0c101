package journal

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"
)

// maxLine bounds the size of an event, which may be a list of a few thousand offices.
const maxLine = 1 << 20

// activityReader calls onRead whenever something is received, even part of a line: a long event over a slow link does
// not count as silence, as after a reconnect it would only be sent again from its start.
type activityReader struct {
	source io.Reader
	onRead func()
}

// Read implements io.Reader.
func (a activityReader) Read(b []byte) (int, error) {
	n, err := a.source.Read(b)
	if n > 0 {
		a.onRead()
	}
	return n, err
}

// readEvents reads a stream of events and calls onLine for each line; received tells whether there was any.
func (c *Client) readEvents(r io.Reader, onLine func()) (received bool, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	var data []byte
	var id string
	for lines.Scan() {
		onLine()
		received = true
		c.lastReceivedAt.Store(time.Now().UnixNano())
		line := bytes.TrimSuffix(lines.Bytes(), []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0:
			if len(data) > 0 {
				c.dispatch(id, data)
			}
			data, id = nil, ""
		case string(name) == "id":
			id = string(value)
		case string(name) == "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
		if len(data) > maxLine {
			return received, bufio.ErrTooLong
		}
	}
	if err = lines.Err(); err == nil {
		err = io.EOF
	}
	return received, err
}

// dispatch handles a complete event. Its number is recorded even if the event can't be decoded, so that it is not
// requested again with each reconnect. An event that was received before is ignored.
func (c *Client) dispatch(id string, data []byte) {
	pos, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		c.Log.Error("journal event without a number", "id", id, "pos", c.Pos)
	} else if pos <= c.Pos {
		return
	} else {
		c.Pos = pos
		c.position.Store(pos)
	}
	c.apply(data)
}

// apply decodes an event and calls OnChange. A malformed one is logged and skipped, as later events are still valid.
func (c *Client) apply(data []byte) {
	changed, full, err := Decode(data)
	if err != nil {
		c.Log.Error("journal event unreadable", "pos", c.Pos, "err", err)
		return
	}
	c.OnChange(changed, full)
}
