// Package reload keeps a value that was read from files up to date while the process
// runs. A change that can't be read leaves the last good value in use.
package reload

import (
	"crypto/sha256"
	"fmt"
	"os"
	"sync"
)

// Value is what was last read well from files. It is safe for concurrent use.
type Value[T any] struct {
	paths []string
	load  func() (T, error)

	mu      sync.Mutex
	current T
	seen    [sha256.Size]byte // digest of what was loaded last, well or not
	failure error             // of that load
	err     error             // of the last look at the files
}

// New loads the value for the first time; an error then is the caller's.
func New[T any](paths []string, load func() (T, error)) (*Value[T], error) {
	v := &Value[T]{paths: paths, load: load}
	seen, err := digest(paths)
	if err != nil {
		return nil, err
	}
	current, err := load()
	if err != nil {
		return nil, err
	}
	v.seen, v.current = seen, current
	return v, nil
}

// Get returns the last good value.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// Check reads the files and takes the value if they have changed. It returns whether
// a new value is in use, and the error of the files as they are now, if any.
func (v *Value[T]) Check() (changed bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen, err := digest(v.paths)
	if err != nil {
		v.err = err
		return false, err
	}
	if seen == v.seen {
		v.err = v.failure
		return false, v.err
	}
	current, err := v.load()
	v.seen, v.failure, v.err = seen, err, err
	if err != nil {
		return false, err
	}
	v.current = current
	return true, nil
}

// Err returns why the files as they were last read are not in use, nil when they are.
func (v *Value[T]) Err() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.err
}

// digest names the contents of all files.
func digest(paths []string) ([sha256.Size]byte, error) {
	var all []byte
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return [sha256.Size]byte{}, fmt.Errorf("read: %w", err)
		}
		part := sha256.Sum256(text)
		all = append(all, part[:]...)
	}
	return sha256.Sum256(all), nil
}
