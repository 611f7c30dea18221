package document

import (
	"context"
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
)

const maxApplyAttempts = 4

// Apply writes a new document if the expected revision is the one in force (zero for the
// first document), and returns the new revision. It succeeds only once the write is known to
// have taken effect; platform.ErrUncertain means that this could not be determined.
func (d *Documents) Apply(ctx context.Context, expect uint64, text []byte) (uint64, error) {
	if len(text) > SizeLimit {
		return 0, fmt.Errorf("apply: %d bytes: %w", len(text), ErrTooLarge)
	}
	id := d.newID()
	uncertain := false
	cause := platform.ErrConflict
	for range maxApplyAttempts {
		stored, version, err := d.readStore(ctx)
		if err != nil {
			return 0, applyError(err, uncertain)
		}
		if rev, ok := stored.AcceptedRevision(id); ok {
			return rev, d.putInForce(stored)
		}
		doc, err := d.nextDocument(expect, id, text, stored)
		if errors.Is(err, revision.ErrBehind) {
			cause = err // another edit followed the read, or the store was restored: read again to find out
			continue
		}
		if err != nil {
			return 0, applyError(err, uncertain && !errors.Is(err, revision.ErrStale))
		}
		err = d.writeStore(ctx, doc, version)
		if err == nil || (errors.Is(err, platform.ErrUncertain) && !d.readBack) {
			return doc.Revision, d.putInForce(doc)
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return 0, applyError(err, uncertain)
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
	}
	return 0, applyError(cause, uncertain)
}

// applyError wraps an error of Apply, with ErrUncertain if an earlier write may have taken
// effect.
func applyError(err error, uncertain bool) error {
	if uncertain {
		return fmt.Errorf("apply: %w: %w", platform.ErrUncertain, err)
	}
	return fmt.Errorf("apply: %w", err)
}

func (d *Documents) readStore(ctx context.Context) (revision.Document, platform.Version, error) {
	entry, err := d.store.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return revision.Document{}, 0, nil
	}
	if err != nil {
		return revision.Document{}, 0, fmt.Errorf("read %s: %w", Key, err)
	}
	doc, err := revision.Decode(entry.Value)
	if err != nil {
		return revision.Document{}, 0, fmt.Errorf("read %s: %w", Key, err)
	}
	return doc, entry.Version, nil
}

func (d *Documents) nextDocument(expect uint64, id string, text []byte, stored revision.Document) (revision.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.NextDocument(expect, id, text, stored)
}

// putInForce puts a document in force that is known to be in the store.
func (d *Documents) putInForce(doc revision.Document) error {
	if err := d.offer(doc); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	return nil
}
