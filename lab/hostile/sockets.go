package hostile

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/coder/websocket"

	"masthill/internal/callws"
)

// frame is a masked text frame of a client, with a mask of zeros, or a control frame. It may announce more than it holds.
func frame(opcode byte, announced int, payload string) string {
	head := []byte{0x80 | opcode, 0x80}
	if announced < 126 {
		head[1] |= byte(announced)
	} else {
		head[1] |= 126
		head = binary.BigEndian.AppendUint16(head, uint16(announced))
	}
	return string(head) + "\x00\x00\x00\x00" + payload
}

// The opcodes of frames (RFC 6455, 5.2).
const textFrame, pingFrame = 1, 9

// openRawSocket opens a WebSocket of the hostile caller and returns its connection behind the handshake.
func openRawSocket(ctx context.Context, t *target) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", t.ws, time.Second)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(callPatience))
	if _, err = io.WriteString(c, upgradeHead("Sec-WebSocket-Protocol: callcontrol.v1\r\nAuthorization: Bearer "+hostileToken+"\r\n")); err == nil {
		err = readHead(c)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return c, nil
}

// readHead reads up to the end of a response's head.
func readHead(c net.Conn) error {
	var head []byte
	for b := make([]byte, 1); !strings.HasSuffix(string(head), "\r\n\r\n"); head = append(head, b[0]) {
		if _, err := c.Read(b); err != nil {
			return err
		}
	}
	if !strings.HasPrefix(string(head), "HTTP/1.1 101") {
		return fmt.Errorf("no socket: %.20s", head)
	}
	return nil
}

// textMessage is a whole text message.
func textMessage(text string) string { return frame(textFrame, len(text), text) }

func floodSocket(ctx context.Context, t *target, message func(n int64) string) {
	flood(ctx, t, openRawSocket, func(n int64) string {
		return textMessage(message(n))
	})
}

func floodPings(ctx context.Context, t *target) {
	flood(ctx, t, openRawSocket, func(int64) string { return frame(pingFrame, 1, "x") })
}

// leaveSocketUnread writes calls and closes the socket's connection at once.
func leaveSocketUnread(ctx context.Context, t *target) {
	dialCtx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	ws, err := dialWebSocket(dialCtx, t.ws, hostileToken)
	if err != nil {
		return
	}
	var ids []string
	for range unreadBatch {
		id := fmt.Sprint("h", t.ids.Add(1))
		ids = append(ids, callws.Key(hostileIdentity, id))
		ws.Write(dialCtx, websocket.MessageText, []byte(callMessage(id, number(1), callPatience)))
	}
	t.sent.Add(unreadBatch)
	ws.CloseNow()
	t.offices.clientLeft(ids)
}
