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

// operator serves the operators' API. Its calls come on goroutines of the library; each hands its question to
// the loop and waits, the loop never waits for them.
type operator struct {
	pb.UnimplementedOperatorServer
	d *Director
}

// ServeOperator listens for the operators' API until stop is called. It returns the address.
func (d *Director) ServeOperator(addr string) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", nil, fmt.Errorf("director: operators' API: %w", err)
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(1<<16), grpc.ConnectionTimeout(5*time.Second))
	pb.RegisterOperatorServer(s, &operator{d: d})
	go s.Serve(ln)
	return ln.Addr().String(), s.Stop, nil
}

// ask runs f on the loop. A call whose time is over does not wait for it.
func ask[T any](ctx context.Context, d *Director, f func() (T, error)) (T, error) {
	type answer struct {
		v   T
		err error
	}
	ch := make(chan answer, 1)
	d.l.Post(func() {
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

// Quality answers with this director's part.
func (o *operator) Quality(ctx context.Context, r *pb.QualityRequest) (*pb.QualityReply, error) {
	dim, ok := quality.ParseDimension(r.Dimension)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "dimension %q is not rack, box, title, class, brand or family", r.Dimension)
	}
	d := o.d
	return ask(ctx, d, func() (*pb.QualityReply, error) {
		now, from := d.l.Now(), 0.0
		if r.LastMs > 0 {
			from = now - r.LastMs
		}
		out := &pb.QualityReply{Director: d.cfg.Director.Name, Reports: map[string]uint64{}, BadKeys: map[string]uint64{},
			Sessions: int64(d.views.q.Sessions()), TooLateByMs: d.views.q.LateBy()}
		for k, g := range d.views.q.Recent(dim, from, d.views.windows) {
			start, share := g.Encode()
			out.Groups = append(out.Groups, &pb.Group{Name: d.views.names[k], Reports: g.Reports, Starts: g.Starts, StallMs: g.StallMs,
				Stalled: g.Stalled, Score: g.Score, Lost: g.Lost, Switches: g.Switches, StartUp: start, Share: share})
		}
		slices.SortFunc(out.Groups, func(a, b *pb.Group) int { return cmp.Compare(a.Name, b.Name) })
		for _, f := range d.views.q.Findings() {
			out.Findings = append(out.Findings, &pb.Finding{Dimension: f.Dim.String(), Name: d.views.names[f.GroupKey], Evidence: f.String(),
				SinceMs: now - f.Since, Load: f.Load, Sessions: int64(f.Sessions), Short: int64(f.Short)})
		}
		for v, n := range d.views.q.Counts() {
			out.Reports[v.String()] = n
		}
		for k, n := range d.views.bad {
			out.BadKeys[k] = n
		}
		return out, nil
	})
}

// Session answers with one session's story.
func (o *operator) Session(ctx context.Context, r *pb.SessionRequest) (*pb.SessionReply, error) {
	d := o.d
	return ask(ctx, d, func() (*pb.SessionReply, error) {
		id, state, known := d.ledger.Lookup(r.Jti)
		out := &pb.SessionReply{Known: known}
		if !known {
			return out, nil
		}
		out.State = state.String()
		if s := d.sessions[id]; s != nil {
			out.Session, out.Rung = d.name(s), int32(s.rung)
			if s.server != 0 {
				out.Box = d.fleet.Addr(s.server)
			}
		}
		spans, partly, skew, _ := d.views.q.Timeline(uint64(id))
		out.Partly, out.SkewMs = partly, skew
		for _, x := range spans {
			out.Spans = append(out.Spans, &pb.Span{AgoMs: d.l.Now() - x.From, Rack: d.views.names[quality.GroupKey{Dim: quality.ByRack, ID: x.Rack}],
				Box: d.views.names[quality.GroupKey{Dim: quality.ByNode, ID: x.Node}], Rung: int32(x.Rung), Kb: x.RateKB})
		}
		return out, nil
	})
}
