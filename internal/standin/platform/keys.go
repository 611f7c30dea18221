package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// maxWait is the longest wait of a blocking query.
const maxWait = 10 * time.Minute

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case query.Has("recurse"):
		s.listKeys(w, r)
	case query.Has("index"):
		s.waitKey(w, r)
	default:
		if s.admit(w, platform.KindGet) {
			pairs, index, _ := s.store.get(s.clock(), r.PathValue("key"))
			writePairs(w, pairs, index)
		}
	}
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	if s.admit(w, platform.KindList) {
		writePairs(w, s.store.list(s.clock(), r.PathValue("key")), 1)
	}
}

func (s *Server) waitKey(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, platform.KindWait) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	pairs, index := s.blockingGet(ctx, r.PathValue("key"), after, wait)
	if f := s.Faults(); f.Down || f.Cut {
		panic(http.ErrAbortHandler)
	}
	writePairs(w, pairs, index)
}

// blockingGet returns a key once its index differs from after, or when the context
// ends. It returns immediately if after is 0.
func (s *Server) blockingGet(ctx context.Context, key string, after uint64, wait time.Duration) ([]wire.Pair, uint64) {
	for {
		pairs, index, changed := s.store.get(s.clock(), key)
		if after == 0 || index != after || ctx.Err() != nil {
			return pairs, index
		}
		waitCtx, cancel := context.WithTimeout(ctx, s.store.untilNextExpiry(s.clock(), wait))
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
		cancel()
	}
}

func writePairs(w http.ResponseWriter, pairs []wire.Pair, index uint64) {
	w.Header().Set(wire.HeaderIndex, strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, pairs)
}

// putKey serves single-key writes with ?cas= or ?acquire=. The reply is true or false.
func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	op := wire.TxnKV{Verb: wire.VerbCAS, Key: r.PathValue("key")}
	kind := platform.KindSwap
	if query.Has("acquire") {
		op.Verb, op.Session, kind = wire.VerbLock, query.Get("acquire"), platform.KindAcquire
	}
	if !s.admit(w, kind) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	op.Value = value
	if op.Verb == wire.VerbCAS {
		if op.Index, err = strconv.ParseUint(query.Get("cas"), 10, 64); err != nil {
			http.Error(w, "cas: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	result := s.store.apply(s.clock(), []wire.TxnOp{{KV: op}})
	s.replyToWrite(w, http.StatusOK, len(result.Errors) == 0)
}

func (s *Server) putTxn(w http.ResponseWriter, r *http.Request) {
	var ops []wire.TxnOp
	if !decodeBody(w, r, &ops) {
		return
	}
	if !s.admit(w, txnKind(ops)) {
		return
	}
	result := s.store.apply(s.clock(), ops)
	if len(result.Errors) > 0 {
		s.replyToWrite(w, http.StatusConflict, result)
		return
	}
	s.replyToWrite(w, http.StatusOK, result)
}

// txnKind returns the kind under which a transaction is counted: acquire if it
// locks a key, commit if it writes several keys, otherwise swap.
func txnKind(ops []wire.TxnOp) platform.Kind {
	writes := 0
	for _, op := range ops {
		switch op.KV.Verb {
		case wire.VerbLock:
			return platform.KindAcquire
		case wire.VerbCAS, wire.VerbDeleteCAS:
			writes++
		}
	}
	if writes > 1 {
		return platform.KindCommit
	}
	return platform.KindSwap
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var body wire.SessionRequest
	if !decodeBody(w, r, &body) || !s.admit(w, platform.KindGrant) {
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "invalid TTL", http.StatusBadRequest)
		return
	}
	id := s.store.grant(s.clock(), body.Name, ttl)
	s.replyToWrite(w, http.StatusOK, wire.SessionReply{ID: id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, platform.KindRenew) {
		return
	}
	if !s.store.renew(s.clock(), r.PathValue("id")) {
		s.replyToWrite(w, http.StatusNotFound, "session not found")
		return
	}
	s.replyToWrite(w, http.StatusOK, []wire.SessionReply{{ID: r.PathValue("id")}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, platform.KindRevoke) {
		return
	}
	s.store.revoke(s.clock(), r.PathValue("id"))
	s.replyToWrite(w, http.StatusOK, true)
}
