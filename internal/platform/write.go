package platform

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, w Write) (Version, error) {
	results, err := h.commitTxn(ctx, KindSwap, writeOps([]Write{w}))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", w.Key, err)
	}
	if w.Delete {
		return 0, nil
	}
	if len(results) == 0 {
		return 0, fmt.Errorf("store %s swap %s: %w: empty response", h.address, w.Key, ErrUncertain)
	}
	return Version(results[len(results)-1].KV.ModifyIndex), nil
}

// Commit implements Store.
func (h *HTTP) Commit(ctx context.Context, writes ...Write) error {
	if len(writes) == 0 {
		return nil
	}
	if len(writes) > maxCommitWrites {
		return fmt.Errorf("store %s commit: %w: %d writes, at most %d", h.address, ErrUnavailable, len(writes), maxCommitWrites)
	}
	if _, err := h.commitTxn(ctx, KindCommit, writeOps(writes)); err != nil {
		return fmt.Errorf("%s and %d more: %w", writes[0].Key, len(writes)-1, err)
	}
	return nil
}

// Acquire implements Store. Acquiring a key again with the same lease keeps its fence.
func (h *HTTP) Acquire(ctx context.Context, key string, value []byte, id LeaseID) (Entry, error) {
	op := wire.TxnOp{KV: wire.TxnKV{Verb: wire.VerbLock, Key: key, Value: value, Session: string(id)}}
	results, err := h.commitTxn(ctx, KindAcquire, []wire.TxnOp{op})
	if err != nil {
		return Entry{}, fmt.Errorf("%s: %w", key, err)
	}
	if len(results) == 0 {
		return Entry{}, fmt.Errorf("store %s acquire %s: %w: empty response", h.address, key, ErrUncertain)
	}
	e := newEntry(results[0].KV)
	e.Value = value
	return e, nil
}

// writeOps returns the operations of a transaction: first the checks of guards and
// conditions, without duplicates, then the writes.
func writeOps(writes []Write) []wire.TxnOp {
	seen := make(map[Guard]bool)
	var ops []wire.TxnOp
	for _, w := range writes {
		for _, g := range append([]Guard{{Key: w.Guard, Holder: w.Holder}}, w.ExtraGuards...) {
			if g.Holder == "" || seen[g] {
				continue
			}
			seen[g] = true
			check := wire.TxnKV{Verb: wire.VerbCheckSession, Key: g.Key, Session: string(g.Holder)}
			ops = append(ops, wire.TxnOp{KV: check})
		}
	}
	ops = append(ops, conditionOps(writes)...)
	for _, w := range writes {
		op := wire.TxnKV{Verb: wire.VerbCAS, Key: w.Key, Value: w.Value, Index: uint64(w.Expect)}
		if w.Delete {
			op.Verb, op.Value = wire.VerbDeleteCAS, nil
		}
		if w.DeleteTree {
			op = wire.TxnKV{Verb: wire.VerbDeleteTree, Key: w.Key}
		}
		ops = append(ops, wire.TxnOp{KV: op})
	}
	return ops
}

// conditionOps returns the checks of IfUnchanged and IfAbsent, without duplicates.
func conditionOps(writes []Write) []wire.TxnOp {
	seen := make(map[KeyVersion]bool)
	var ops []wire.TxnOp
	for _, w := range writes {
		keys := []KeyVersion{w.IfUnchanged}
		for _, key := range w.IfAbsent {
			keys = append(keys, KeyVersion{Key: key})
		}
		for _, k := range keys {
			if k.Key == "" || seen[k] {
				continue
			}
			seen[k] = true
			op := wire.TxnKV{Verb: wire.VerbCheckIndex, Key: k.Key, Index: uint64(k.Version)}
			if k.Version == 0 {
				op.Verb = wire.VerbCheckNotExists
			}
			ops = append(ops, wire.TxnOp{KV: op})
		}
	}
	return ops
}

// commitTxn runs a transaction, which applies all operations or none.
func (h *HTTP) commitTxn(ctx context.Context, kind Kind, ops []wire.TxnOp) ([]wire.TxnResult, error) {
	r, err := h.doRequest(ctx, request{kind: kind, method: http.MethodPut, path: "/v1/txn", body: ops})
	if err != nil {
		return nil, err
	}
	var txnReply wire.TxnReply
	if err := h.decode(kind, r.body, &txnReply); err != nil {
		return nil, err
	}
	if r.status == http.StatusOK && len(txnReply.Errors) == 0 {
		return txnReply.Results, nil
	}
	return nil, fmt.Errorf("store %s %s: %w", h.address, kind, rollbackError(txnReply.Errors))
}

// rollbackError returns the error of a transaction that was not applied.
func rollbackError(errs []wire.TxnError) error {
	reason := "no reason given"
	if len(errs) > 0 {
		reason = errs[0].What
	}
	if strings.Contains(reason, "invalid session") {
		return fmt.Errorf("%w: %s", ErrNotFound, reason)
	}
	return fmt.Errorf("%w: %s", ErrConflict, reason)
}
