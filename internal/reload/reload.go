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

	mu           sync.Mutex
	current      T
	loadedDigest [sha256.Size]byte // digest of what was loaded last, well or not
	loadErr      error             // of that load
	checkErr     error             // of the last look at the files
}

// New loads the value for the first time; an error then is the caller's.
func New[T any](paths []string, load func() (T, error)) (*Value[T], error) {
	v := &Value[T]{paths: paths, load: load}
	loadedDigest, err := contentDigest(paths)
	if err != nil {
		return nil, err
	}
	current, err := load()
	if err != nil {
		return nil, err
	}
	v.loadedDigest, v.current = loadedDigest, current
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
	found, err := contentDigest(v.paths)
	if err != nil {
		v.checkErr = err
		return false, err
	}
	if found == v.loadedDigest {
		v.checkErr = v.loadErr
		return false, v.checkErr
	}
	current, err := v.load()
	v.loadedDigest, v.loadErr, v.checkErr = found, err, err
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
	return v.checkErr
}

// contentDigest names the contents of all files.
func contentDigest(paths []string) ([sha256.Size]byte, error) {
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
