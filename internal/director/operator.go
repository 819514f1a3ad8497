package director

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"headmill/decide/quality"
	pb "headmill/internal/api/operatorv1"
)

// operatorServer implements the operators' gRPC API. Calls arrive on goroutines of the gRPC library; each posts a
// function to the loop and waits for its result. The loop never waits for a call.
type operatorServer struct {
	pb.UnimplementedOperatorServer
	director *Director
}

// ServeOperator serves the operators' API until stop is called. It returns the address.
func (d *Director) ServeOperator(addr string) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", nil, fmt.Errorf("director: operators' API: %w", err)
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(1<<16), grpc.ConnectionTimeout(5*time.Second))
	pb.RegisterOperatorServer(s, &operatorServer{director: d})
	go s.Serve(&boundedListener{Listener: ln, maxConns: d.descriptors.Operators})
	return ln.Addr().String(), s.Stop, nil
}

// runOnLoop runs f on the loop's goroutine and returns its result, or the error of ctx once that is done.
func runOnLoop[T any](ctx context.Context, d *Director, f func() (T, error)) (T, error) {
	type answer struct {
		v   T
		err error
	}
	ch := make(chan answer, 1)
	d.loop.Post(func() {
		v, err := f()
		ch <- answer{v, err}
	})
	select {
	case a := <-ch:
		return a.v, a.err
	case <-ctx.Done():
		var none T
		return none, status.FromContextError(ctx.Err()).Err()
	}
}

// Quality returns this director's share of the quality data.
func (o *operatorServer) Quality(ctx context.Context, req *pb.QualityRequest) (*pb.QualityReply, error) {
	dim, ok := quality.ParseDimension(req.Dimension)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument,
			"dimension %q is not rack, box, title, class, brand or family", req.Dimension)
	}
	d := o.director
	return runOnLoop(ctx, d, func() (*pb.QualityReply, error) {
		now, from := d.loop.Now(), 0.0
		if req.LastMs > 0 {
			from = now - req.LastMs
		}
		out := &pb.QualityReply{
			Director:    d.cfg.Director.Name,
			Reports:     map[string]uint64{},
			BadKeys:     map[string]uint64{},
			Sessions:    int64(d.quality.tracker.Sessions()),
			TooLateByMs: d.quality.tracker.MaxLatenessMs(),
		}
		for key, group := range d.quality.tracker.Recent(dim, from, d.quality.closedWindows) {
			start, share := group.Encode()
			out.Groups = append(out.Groups, &pb.Group{
				Name:     d.quality.groupNames[key],
				Reports:  group.Reports,
				Starts:   group.Starts,
				StallMs:  group.StallMs,
				Stalled:  group.StalledReports,
				Score:    group.QualitySum,
				Lost:     group.QualityLost,
				Switches: group.Switches,
				StartUp:  start,
				Share:    share,
			})
		}
		slices.SortFunc(out.Groups, func(a, b *pb.Group) int { return cmp.Compare(a.Name, b.Name) })
		for _, f := range d.quality.tracker.Findings() {
			out.Findings = append(out.Findings, &pb.Finding{
				Dimension: f.Dim.String(),
				Name:      d.quality.groupNames[f.GroupKey],
				Evidence:  f.String(),
				SinceMs:   now - f.Since,
				Load:      f.Load,
				Sessions:  int64(f.Sessions),
				Short:     int64(f.Short),
			})
		}
		for v, n := range d.quality.tracker.Counts() {
			out.Reports[v.String()] = n
		}
		for k, n := range d.quality.malformedValues {
			out.BadKeys[k] = n
		}
		return out, nil
	})
}

// Session returns the state and the timeline of one session.
func (o *operatorServer) Session(ctx context.Context, req *pb.SessionRequest) (*pb.SessionReply, error) {
	d := o.director
	return runOnLoop(ctx, d, func() (*pb.SessionReply, error) {
		id, state, known := d.ledger.Lookup(req.Jti)
		out := &pb.SessionReply{Known: known}
		if !known {
			return out, nil
		}
		out.State = state.String()
		if s := d.sessions[id]; s != nil {
			out.Session, out.Rung = d.sessionName(s), int32(s.rung)
			if s.node != 0 {
				out.Box = d.nodeList.Addr(s.node)
			}
		}
		spans, partly, skewMs, _ := d.quality.tracker.Timeline(uint64(id))
		out.Partly, out.SkewMs = partly, skewMs
		for _, span := range spans {
			out.Spans = append(out.Spans, &pb.Span{
				AgoMs: d.loop.Now() - span.From,
				Rack:  d.quality.groupNames[quality.GroupKey{Dim: quality.ByRack, ID: span.Rack}],
				Box:   d.quality.groupNames[quality.GroupKey{Dim: quality.ByNode, ID: span.Node}],
				Rung:  int32(span.Rung),
				Kb:    span.RateKB,
			})
		}
		return out, nil
	})
}
