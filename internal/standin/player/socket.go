package player

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/coder/websocket"
	"google.golang.org/protobuf/proto"

	pb "headmill/internal/api/sessionv1"
)

// askSocket opens a session over the session API and keeps the connection; bye ends it. ended is closed when the
// director says that the session is over.
func askSocket(ctx context.Context, c *http.Client, base, tok string, give time.Duration) (a answer, ended chan struct{}, bye func()) {
	ended = make(chan struct{})
	wait, cancel := context.WithTimeout(ctx, give+200*time.Millisecond)
	defer cancel()
	conn, _, err := websocket.Dial(wait, "ws"+strings.TrimPrefix(base, "http")+"/session", &websocket.DialOptions{HTTPClient: c,
		Subprotocols: []string{"headmill.session.v1+proto"}, HTTPHeader: http.Header{"Authorization": {"Bearer " + tok}}})
	if err != nil {
		return answer{err: err}, ended, func() {}
	}
	b, _ := proto.Marshal(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{Inline: true}}})
	if err := conn.Write(wait, websocket.MessageBinary, b); err != nil {
		conn.CloseNow()
		return answer{err: err}, ended, func() {}
	}
	for {
		var m pb.ServerMessage
		_, b, err := conn.Read(wait)
		if err == nil {
			err = proto.Unmarshal(b, &m)
		}
		if err != nil {
			conn.CloseNow()
			return answer{err: err}, ended, func() {}
		}
		if m.Id != 1 {
			continue
		}
		switch {
		case m.GetPlaying() != nil:
			go listen(ctx, conn, ended)
			return answer{status: 200, body: []byte(m.GetPlaying().Manifest)}, ended, func() { conn.CloseNow() }
		case m.GetRefused() != nil:
			a = answer{status: 503, retry: time.Duration(m.GetRefused().RetryAfterMs) * time.Millisecond}
		case m.GetFailed() != nil:
			a = answer{status: int(m.GetFailed().Status), home: m.GetFailed().Home}
		default:
			a = answer{err: errors.New("player: an answer of no known kind")}
		}
		conn.CloseNow()
		return a, ended, func() {}
	}
}

// listen reads on, so that pings are answered and the end is heard.
func listen(ctx context.Context, conn *websocket.Conn, ended chan struct{}) {
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var m pb.ServerMessage
		if proto.Unmarshal(b, &m) == nil && m.GetEnded() != nil {
			close(ended)
			return
		}
	}
}
