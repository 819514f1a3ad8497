package fronts

import (
	"encoding/binary"
	"fmt"

	"headmill/internal/ws"
)

// upgrade is a request that opens the session API.
func (f *front) upgrade() []byte {
	return fmt.Appendf(nil, "GET /session HTTP/1.1\r\nHost: d\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Protocol: headmill.session.v1+json\r\nAuthorization: Bearer %s\r\n\r\n", f.newToken())
}

// maskedFrame is a final frame of a client. Its masking key is 0, which leaves the payload as it is.
func maskedFrame(op ws.Opcode, payload []byte) []byte {
	frame := []byte{0x80 | byte(op)}
	if len(payload) < 126 {
		frame = append(frame, 0x80|byte(len(payload)))
	} else {
		frame = binary.BigEndian.AppendUint16(append(frame, 0x80|126), uint16(len(payload)))
	}
	frame = append(frame, 0, 0, 0, 0)
	return append(frame, payload...)
}
