// Package reload reloads a value from files while the process runs. If the changed files can't
// be loaded, the last valid value stays in use.
package reload

import (
	"crypto/sha256"
	"fmt"
	"os"
	"sync"
)

// Value is the last value that was loaded successfully from files. It is safe for concurrent
// use.
type Value[T any] struct {
	paths []string
	load  func() (T, error)

	mu           sync.Mutex
	current      T
	loadedDigest [sha256.Size]byte // digest of the files that were loaded last, even if loading failed
	loadErr      error             // error of the last load
	checkErr     error             // error of the last check
}

// New loads the value for the first time and returns an error if that fails.
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

// Get returns the last valid value.
func (v *Value[T]) Get() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// Check reads the files and loads the value if they have changed. It returns whether a new
// value is in use and, if the current files can't be used, the reason.
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

// Err returns why the files could not be used at the last check, or nil if they are in use.
func (v *Value[T]) Err() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.checkErr
}

// contentDigest returns a digest of the contents of all files.
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
