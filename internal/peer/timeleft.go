package peer

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
)

// timeLeftKey is the metadata with how many milliseconds a request has left. The deadline in its message is a time
// of day, which differs between machines.
const timeLeftKey = "chiveramp-time-left-ms"

// withTimeLeft returns a context whose call says how much time is left until a deadline, a Unix time in
// milliseconds, 0 for none.
func withTimeLeft(ctx context.Context, now time.Time, deadline int64) context.Context {
	if deadline <= 0 {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, timeLeftKey, strconv.FormatInt(deadline-now.UnixMilli(), 10))
}

// localDeadline returns the deadline of a call by this machine's time of day. Peers of earlier builds don't say how
// much time is left: the deadline is then the given one.
func localDeadline(ctx context.Context, now time.Time, deadline int64) int64 {
	values := metadata.ValueFromIncomingContext(ctx, timeLeftKey)
	if len(values) != 1 || deadline <= 0 {
		return deadline
	}
	left, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return deadline // of a build to come
	}
	return max(1, now.UnixMilli()+left) // 0 would mean none
}
