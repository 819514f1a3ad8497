package fronts

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "headmill/internal/api/operatorv1"
)

// http2Preface opens an HTTP/2 connection with an empty SETTINGS frame (RFC 9113 section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// operatorPatience is the time within which an operator's call gets through beside connections that are held idle.
const operatorPatience = 5 * time.Second

// Guards against viewers that get no answers, and operators that get none either, since idle connections to the operators' API
// hold all descriptors.
func TestIdleOperatorConnections(t *testing.T) {
	const idle = 1100
	for name, preface := range map[string]string{"preface sent": http2Preface, "nothing sent": ""} {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, descriptorLimit, nil)
			operator := f.cluster.Directors[0].Proc.Operator
			for range idle {
				conn, err := net.DialTimeout("tcp4", operator, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.Write([]byte(preface))
			}
			honest := f.startHonest(4, 50*time.Millisecond, true)
			time.Sleep(time.Second)
			calledAt := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
			defer cancel()
			_, err := f.operator(t).Quality(ctx, &pb.QualityRequest{Dimension: "title"}, grpc.WaitForReady(true))
			t.Logf("an operator's call took %v: %v", time.Since(calledAt).Round(time.Millisecond), err)
			if err != nil {
				t.Errorf("an operator's call failed: %v", err)
			}
			f.check(name, honest.finish())
		})
	}
}

// operator returns a client of the operators' API.
func (f *front) operator(t *testing.T) pb.OperatorClient {
	t.Helper()
	conn, err := grpc.NewClient(f.cluster.Directors[0].Proc.Operator, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: operatorPatience}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return pb.NewOperatorClient(conn)
}

// Guards against viewers that wait for the calls of an operator.
func TestFloodOfAnOperator(t *testing.T) {
	f := startFront(t, descriptorLimit, nil)
	client := f.operator(t)
	ctx, cancel := context.WithTimeout(context.Background(), floodLength)
	defer cancel()
	honest := f.startHonest(4, 50*time.Millisecond, false)
	var calls, failed atomic.Int64
	var flooding sync.WaitGroup
	for range 1000 {
		flooding.Add(1)
		go func() {
			defer flooding.Done()
			for ctx.Err() == nil {
				if _, err := client.Quality(ctx, &pb.QualityRequest{Dimension: "title"}); err != nil {
					failed.Add(1)
				}
				calls.Add(1)
			}
		}()
	}
	flooding.Wait()
	t.Logf("%d calls, %d failed", calls.Load(), failed.Load())
	f.check("flood", honest.finish())
}
