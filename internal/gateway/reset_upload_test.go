package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// resetUploads is how often an upload is reset, as the write of an upload doesn't always meet the reset before
// the read of the answer does.
const resetUploads = 4

// An answer without a length must not look complete if its endpoint resets the connection while the upload is
// still being written.
func TestAnswersResetDuringTheirUploadAreNotComplete(t *testing.T) {
	tests := []struct {
		name   string
		kind   catalog.Kind
		method string
		begun  string // the first endpoint's answer
		whole  string // what the caller gets in the end
		sound  bool   // the answer ends in order
	}{
		{name: "safe: retried elsewhere", kind: catalog.KindSafe, method: http.MethodPut, begun: jsonHead + "\r\npart", whole: "done r1"},
		{name: "once", kind: catalog.KindUnsafe, method: http.MethodPost, begun: jsonHead + "\r\npart"},
		{name: "once, failed", kind: catalog.KindUnsafe, method: http.MethodPost, begun: errorHead + "\r\npart"},
		{name: "stream", kind: catalog.KindStream, method: http.MethodPost, begun: streamHead + "\r\nid: 1\ndata: piece 1\n\n"},
		{name: "once, ended in order", kind: catalog.KindUnsafe, method: http.MethodPost, begun: jsonHead + "\r\nall of it", whole: "all of it", sound: true},
		{name: "stream, ended in order", kind: catalog.KindStream, method: http.MethodPost, begun: streamHead + "\r\n" + completeStream, whole: completeStream, sound: true},
		{name: "stream, resumed elsewhere", kind: catalog.KindStream, method: http.MethodPost, begun: streamHead + "\r\nid: 1\ndata: piece 1\n\n", whole: completeStream},
	}
	upload := strings.Repeat("x", 8<<20)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, standin.BehaviourNone, standin.BehaviourNone)
			f.maxBody = len(upload)
			f.retryBudget = resetUploads
			f.route.Timeout = 10 * time.Second
			f.route.Resumable = tt.whole != ""
			f.runners[0].SetRaw(standin.RawAnswer{Text: tt.begun, Early: true, Reset: !tt.sound, HalfOpen: tt.sound})
			header := map[string]string{}
			if tt.kind == catalog.KindStream {
				header["Model"] = "m"
			}
			url := serve(t, f)
			for range resetUploads {
				answer, err := send(t, url, tt.method, header, upload)
				if tt.whole != "" {
					require.NoError(t, err)
					assert.Equal(t, tt.whole, answer.body)
					assert.Equal(t, tt.sound, len(f.runners[1].Runs()) == 0)
					continue
				}
				assert.True(t, err != nil || answer.status == http.StatusBadGateway, "%d %q looks complete", answer.status, answer.body)
			}
		})
	}
}
