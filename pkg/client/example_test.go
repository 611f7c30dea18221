package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/chiveramp/chiveramp/pkg/client"
)

// newFakeInstance starts a fake instance that serves requests with the given handler.
func newFakeInstance(handler http.HandlerFunc) (address string, shutdown func()) {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	address = strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"entries":[{"address":%q}],"keep":"30s"}`, address)
	})
	mux.HandleFunc("/", handler)
	return address, server.Close
}

func ExampleClient_Stream() {
	address, shutdown := newFakeInstance(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(client.HeaderLastEvent) == "" {
			_, _ = io.WriteString(w, "id: m1/a/1\ndata: a red\n\n") // the answer ends without its last event
			return
		}
		_, _ = io.WriteString(w, "id: m1/a/2\ndata: glove\n\ndata: [DONE]\n\n")
	})
	defer shutdown()
	c := client.New([]string{address}, client.WithProfile("board-citizen"))
	defer c.Close()

	stream, err := c.Stream(context.Background(), client.Request{Path: "/v1/chat/completions"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			fmt.Println("whole")
			return
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(event.ID, string(event.Data))
	}
	// Output:
	// m1/a/1 a red
	// m1/a/2 glove
	// whole
}

func ExampleClient_Do() {
	address, shutdown := newFakeInstance(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(client.HeaderOutcome, string(client.OutcomeNotRun))
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = fmt.Fprintf(w, `{"error":{"code":"key-reused","step":"claim","message":"%s"}}`, r.Header.Get(client.HeaderKey))
	})
	defer shutdown()
	c := client.New([]string{address}, client.WithProfile("kits"))
	defer c.Close()

	_, err := c.Do(context.Background(), client.Request{Method: http.MethodPost, Path: "/services/orders/new", Key: "order-4711"})
	var failed *client.Error
	if errors.As(err, &failed) {
		fmt.Println(failed.Code, failed.Message, failed.Outcome)
	}
	// Output: key-reused order-4711 not-run
}
