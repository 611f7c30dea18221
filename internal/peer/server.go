package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// maxHeadBytes bounds the metadata of a call by HTTP/2's count, which adds 32 bytes for each field.
const maxHeadBytes = 16 << 10

// Handler implements the calls that an instance serves to its peers.
type Handler interface {
	// Beats receives the heartbeats of one peer until next returns an error.
	Beats(next func() (*peerpb.BeatRequest, error)) error
	Totals(context.Context, *peerpb.TotalsRequest) (*peerpb.TotalsReply, error)
	Held(context.Context, *peerpb.HeldRequest) (*peerpb.TotalsReply, error)
	List(context.Context, *peerpb.ListRequest) (*peerpb.ListReply, error)
	Explain(context.Context, *peerpb.ExplainRequest) (*peerpb.ExplainReply, error)
	Attainment(context.Context, *peerpb.AttainmentRequest) (*peerpb.AttainmentReply, error)
	Document(context.Context, *peerpb.DocumentRequest) (*peerpb.DocumentReply, error)
	// Serve runs one submitted request and returns its end message.
	Serve(context.Context, Request, Sink) *peerpb.End
	// Resume streams an attempt's answer after an offset.
	Resume(context.Context, *peerpb.Resume, Sink) *peerpb.End
	// Withdraw refuses an attempt that waits in a queue.
	Withdraw(attempt string)
}

// Server adapts a Handler to the generated gRPC service.
type Server struct {
	peerpb.UnimplementedPeerServer
	Handler
}

// NewServer returns a gRPC server with the same flow-control windows and read buffers as the
// client.
func NewServer(opts ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(opts,
		grpc.MaxHeaderListSize(maxHeadBytes), grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow), grpc.ReadBufferSize(readBufferSize))...)
}

// Register registers a handler's service with a gRPC server.
func Register(s *grpc.Server, h Handler) {
	peerpb.RegisterPeerServer(s, &Server{Handler: h})
}

// Beats implements the generated service.
func (s *Server) Beats(stream grpc.ClientStreamingServer[peerpb.BeatRequest, peerpb.BeatReply]) error {
	return s.Handler.Beats(stream.Recv)
}

// Totals implements the generated service.
func (s *Server) Totals(ctx context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	return s.Handler.Totals(ctx, r)
}

// Held implements the generated service.
func (s *Server) Held(ctx context.Context, r *peerpb.HeldRequest) (*peerpb.TotalsReply, error) {
	return s.Handler.Held(ctx, r)
}

// List implements the generated service.
func (s *Server) List(ctx context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return s.Handler.List(ctx, r)
}

// Explain implements the generated service.
func (s *Server) Explain(ctx context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	return s.Handler.Explain(ctx, r)
}

// Attainment implements the generated service.
func (s *Server) Attainment(ctx context.Context, r *peerpb.AttainmentRequest) (*peerpb.AttainmentReply, error) {
	return s.Handler.Attainment(ctx, r)
}

// Document implements the generated service.
func (s *Server) Document(ctx context.Context, r *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	return s.Handler.Document(ctx, r)
}

// Dispatch implements the generated service.
func (s *Server) Dispatch(stream grpc.BidiStreamingServer[peerpb.DispatchUp, peerpb.DispatchDown]) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive submit: %w", err)
	}
	end, err := s.serve(stream, first)
	if err != nil {
		return err
	}
	return stream.Send(&peerpb.DispatchDown{Kind: &peerpb.DispatchDown_End{End: end}})
}

func (s *Server) serve(stream grpc.BidiStreamingServer[peerpb.DispatchUp, peerpb.DispatchDown], first *peerpb.DispatchUp) (*peerpb.End, error) {
	out := streamSink{stream}
	switch kind := first.GetKind().(type) {
	case *peerpb.DispatchUp_Submit:
		request := Request{Submit: kind.Submit, Body: &bodyReader{stream: stream, buffered: kind.Submit.Body, complete: kind.Submit.Whole}}
		kind.Submit.Body = nil
		kind.Submit.Deadline = localDeadline(stream.Context(), time.Now(), kind.Submit.Deadline)
		return s.Serve(stream.Context(), request, out), nil
	case *peerpb.DispatchUp_Resume:
		if next, err := stream.Recv(); err == nil && next.GetCancel() != nil {
			s.Withdraw(kind.Resume.Attempt)
			return &peerpb.End{}, nil
		}
		return s.Resume(stream.Context(), kind.Resume, out), nil
	default:
		return nil, status.Errorf(codes.InvalidArgument, "first message is %T, want submit or resume", kind)
	}
}

type streamSink struct {
	stream grpc.BidiStreamingServer[peerpb.DispatchUp, peerpb.DispatchDown]
}

func (s streamSink) Head(h *peerpb.Head) error {
	return s.stream.Send(&peerpb.DispatchDown{Kind: &peerpb.DispatchDown_Head{Head: h}})
}

func (s streamSink) Data(d *peerpb.Data) error {
	return s.stream.Send(&peerpb.DispatchDown{Kind: &peerpb.DispatchDown_Data{Data: d}})
}

// bodyReader reads a request body from the messages that follow a submit.
type bodyReader struct {
	stream   grpc.BidiStreamingServer[peerpb.DispatchUp, peerpb.DispatchDown]
	buffered []byte
	complete bool
}

// Read implements io.Reader. A body that stops before its Done message is an error, never a
// short body.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.buffered) == 0 {
		if r.complete {
			return 0, io.EOF
		}
		if err := r.receiveNext(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

func (r *bodyReader) receiveNext() error {
	message, err := r.stream.Recv()
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("receive body: %w", io.ErrUnexpectedEOF)
	}
	if err != nil {
		return fmt.Errorf("receive body: %w", err)
	}
	switch kind := message.GetKind().(type) {
	case *peerpb.DispatchUp_Body:
		r.buffered = kind.Body
	case *peerpb.DispatchUp_Done:
		r.complete = true
	default:
		return fmt.Errorf("receive body: unexpected %T", kind)
	}
	return nil
}
