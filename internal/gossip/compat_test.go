package gossip_test

import (
	"context"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/gossip"
)

// messageTypes are all messages between instances, and the heartbeat inside a packed one.
var messageTypes = []any{
	gossip.Heartbeat{},
	gossip.PackedHeartbeat{},
	gossip.Ack{},
	gossip.Fetch{},
	gossip.FetchReply{},
	gossip.FetchCatalog{},
	gossip.CatalogPart{},
	gossip.PushCatalog{},
	gossip.PushReply{},
	gossip.Ensure{},
	gossip.EnsureReply{},
	gossip.Portions{},
	gossip.PortionsReply{},
	gossip.HandOver{},
	gossip.HandOverReply{},
	gossip.Origins{},
	gossip.OriginsReply{},
	gossip.FindOrigin{},
	gossip.FindOriginReply{},
	gossip.Admit{},
	gossip.AdmitReply{},
	gossip.RelayFrame{},
}

// structTypes calls visit for a type and all struct types that it contains.
func structTypes(t reflect.Type, visit func(reflect.Type)) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		structTypes(t.Elem(), visit)
	case reflect.Map:
		structTypes(t.Key(), visit)
		structTypes(t.Elem(), visit)
	case reflect.Struct:
		if t == reflect.TypeFor[time.Time]() {
			return
		}
		visit(t)
		for i := range t.NumField() {
			structTypes(t.Field(i).Type, visit)
		}
	}
}

// The decoder takes a key that differs from a field's only in case for that field, so a new key must
// differ from all others in more than that: an earlier build would read it as another field.
func TestKeysDifferInMoreThanCase(t *testing.T) {
	for _, m := range messageTypes {
		structTypes(reflect.TypeOf(m), func(s reflect.Type) {
			seen := make(map[string]string)
			for _, f := range reflect.VisibleFields(s) {
				key, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
				if f.Anonymous || key == "-" {
					continue // embedded fields have keys of their own
				}
				if key == "" {
					key = f.Name
				}
				folded := strings.ToLower(key)
				assert.Emptyf(t, seen[folded], "%s: %s and %s have equal keys", s, seen[folded], f.Name)
				seen[folded] = f.Name
			}
		})
	}
}

// withUnknownKeys adds a key that no build has to every map with text keys that is a message.
func withUnknownKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		all := make(map[any]any, len(v)+1)
		for key, value := range v {
			all[key] = withUnknownKeys(value)
		}
		all["a later field"] = []any{"of", 1, map[any]any{"any": "type"}}
		return all
	case []any:
		all := make([]any, len(v))
		for i := range v {
			all[i] = withUnknownKeys(v[i])
		}
		return all
	default:
		return v
	}
}

// An earlier build passes over the fields of a later one, at any depth.
func TestUnknownFieldsArePassedOver(t *testing.T) {
	for _, g := range goldenMessages() {
		t.Run(g.name, func(t *testing.T) {
			text, err := cbor.Marshal(g.message)
			require.NoError(t, err)
			var raw any
			require.NoError(t, cbor.Unmarshal(text, &raw))
			// The keys of this map are endpoints.
			if m, ok := raw.(map[any]any); ok && m["o"] != nil && g.name == "heartbeat" {
				loads := m["o"]
				raw = withUnknownKeys(raw)
				raw.(map[any]any)["o"] = loads
			} else {
				raw = withUnknownKeys(raw)
			}
			later, err := cbor.Marshal(raw)
			require.NoError(t, err)
			assert.NotEqual(t, text, later)
			got := reflect.New(reflect.TypeOf(g.message).Elem()).Interface()
			require.NoError(t, cbor.Unmarshal(later, got))
			assert.Equal(t, normalized(t, g.message), normalized(t, got))
		})
	}
}

// normalized returns a message as it is encoded.
func normalized(t *testing.T, message any) string {
	t.Helper()
	text, err := cbor.Marshal(message)
	require.NoError(t, err)
	readable, err := cbor.Diagnose(text)
	require.NoError(t, err)
	return readable
}

// Each message of an empty map decodes to the zero value: a later build takes fields that an earlier
// one does not send for what they were before.
func TestAbsentFieldsAreZero(t *testing.T) {
	for _, m := range messageTypes {
		got := reflect.New(reflect.TypeOf(m))
		require.NoError(t, cbor.Unmarshal([]byte{0xa0}, got.Interface()))
		assert.True(t, got.Elem().IsZero(), "%T", m)
	}
}

// A call that the peer's build doesn't have fails as such, and its connection goes on.
func TestUnknownCallsAreRefused(t *testing.T) {
	server := gossip.NewServer(handler{})
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(l) })
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	dials := 0
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype("cbor")),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			dials++
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	const service = "/chiveramp.gossip.v1.Gossip/"
	err = conn.Invoke(ctx, service+"Later", &gossip.Ensure{}, &gossip.EnsureReply{})
	assert.Equal(t, codes.Unimplemented, status.Code(err))
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, service+"LaterStream")
	require.NoError(t, err)
	assert.Equal(t, codes.Unimplemented, status.Code(stream.RecvMsg(new(gossip.Ack))))
	var reply gossip.EnsureReply
	require.NoError(t, conn.Invoke(ctx, service+"Ensure", &gossip.Ensure{Adapter: "x"}, &reply))
	assert.Equal(t, "no x", reply.Refused)
	assert.Equal(t, 1, dials, "the connection goes on")
}

// A list of fixed length is cut or filled up if the other build's has another length.
func TestListsOfOtherLengths(t *testing.T) {
	text, err := cbor.Marshal([]int{1, 2, 3, 4})
	require.NoError(t, err)
	var shorter [3]int
	require.NoError(t, cbor.Unmarshal(text, &shorter))
	assert.Equal(t, [3]int{1, 2, 3}, shorter)
	var longer [5]int
	require.NoError(t, cbor.Unmarshal(text, &longer))
	assert.Equal(t, [5]int{1, 2, 3, 4, 0}, longer)
}
