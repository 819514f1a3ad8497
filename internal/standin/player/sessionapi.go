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

// openSession opens a session over the session API. If the session plays, the
// connection stays open until closeSession is called, and ended is closed when
// the director reports that the session has ended.
func openSession(ctx context.Context, client *http.Client, base, token string, giveUp time.Duration) (
	result answer, ended chan struct{}, closeSession func()) {
	ended = make(chan struct{})
	setupCtx, cancel := context.WithTimeout(ctx, giveUp+200*time.Millisecond)
	defer cancel()
	conn, _, err := websocket.Dial(setupCtx, "ws"+strings.TrimPrefix(base, "http")+"/session",
		&websocket.DialOptions{HTTPClient: client, Subprotocols: []string{"headmill.session.v1+proto"},
			HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if err != nil {
		return answer{err: err}, ended, func() {}
	}
	message, _ := proto.Marshal(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{Inline: true}}})
	if err := conn.Write(setupCtx, websocket.MessageBinary, message); err != nil {
		conn.CloseNow()
		return answer{err: err}, ended, func() {}
	}
	for {
		var reply pb.ServerMessage
		_, data, err := conn.Read(setupCtx)
		if err == nil {
			err = proto.Unmarshal(data, &reply)
		}
		if err != nil {
			conn.CloseNow()
			return answer{err: err}, ended, func() {}
		}
		if reply.Id != 1 {
			continue
		}
		switch {
		case reply.GetPlaying() != nil:
			go readUntilEnded(ctx, conn, ended)
			return answer{status: 200, body: []byte(reply.GetPlaying().Manifest)}, ended, func() { conn.CloseNow() }
		case reply.GetRefused() != nil:
			result = answer{status: 503, retryAfter: time.Duration(reply.GetRefused().RetryAfterMs) * time.Millisecond}
		case reply.GetFailed() != nil:
			result = answer{status: int(reply.GetFailed().Status), homeURL: reply.GetFailed().Home}
		default:
			result = answer{err: errors.New("player: unexpected kind of answer to open")}
		}
		conn.CloseNow()
		return result, ended, func() {}
	}
}

// readUntilEnded reads messages, so that pings are answered, and closes ended when the session has ended.
func readUntilEnded(ctx context.Context, conn *websocket.Conn, ended chan struct{}) {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var message pb.ServerMessage
		if proto.Unmarshal(data, &message) == nil && message.GetEnded() != nil {
			close(ended)
			return
		}
	}
}
