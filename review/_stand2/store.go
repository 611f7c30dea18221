package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	heartbeat = 1200 * time.Millisecond
	// lapse is after how long a silence a runner's entry is removed.
	lapse = 3 * heartbeat
)

// serveStore serves the project's own stand-in of the store, and a control address over which runners register and
// the operator writes. An entry whose runner is silent for three heartbeats is removed.
func serveStore(address, control string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	store := standin.NewStore(500, standin.WithListener(l))
	var mu sync.Mutex
	beats := make(map[string]time.Time)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /set", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		key := r.URL.Query().Get("key")
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(key, names["entries"]) {
			beats[key] = time.Now()
		}
		store.Set(key, value)
	})
	mux.HandleFunc("POST /remove", func(_ http.ResponseWriter, r *http.Request) {
		key := r.URL.Query().Get("key")
		mu.Lock()
		defer mu.Unlock()
		delete(beats, key)
		store.Remove(key)
	})
	go func() {
		for range time.Tick(heartbeat / 6) {
			mu.Lock()
			for key, at := range beats {
				if time.Since(at) > lapse {
					delete(beats, key)
					store.Remove(key)
				}
			}
			mu.Unlock()
		}
	}()
	return http.ListenAndServe(control, mux)
}
