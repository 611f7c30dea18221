package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester got.
type answer struct {
	id, status, body string
	code             int
	sealed           bool // it bears a runner's receipt
	whole            bool // it looks complete: it ended with its length or a last chunk
	err              error
	sent, ended      time.Time
}

// ask sends a request on a connection of its own, and reads the answer up to its end.
func (s *site) ask(p *process, method, path, model string, wait time.Duration) answer {
	s.mu.Lock()
	s.next++
	a := answer{id: fmt.Sprintf("%016x", s.next), sent: time.Now()}
	s.mu.Unlock()
	defer func() {
		s.note("%s %s %s at %s, sent %s: status %d, receipt %t, whole %t, %d bytes, err %v", a.id, method, path, p.name,
			a.sent.Format(timeForm), a.code, a.sealed, a.whole, len(a.body), a.err)
	}()
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait + time.Second))
	body := ""
	if method == http.MethodPost {
		body = "body of " + path
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: board.example\r\nRequest-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n", method, path, a.id, names["deadline"], wait.Milliseconds(), len(body))
	if model != "" {
		head += "Model: " + model + "\r\n" + names["tokens"] + ": 100,500\r\n" + names["parts"] + ": 5c1e07a2:60," + a.id + ":40\r\n"
	}
	if _, a.err = io.WriteString(conn, head+"\r\n"+body); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_, a.err = io.Copy(&text, response.Body)
	a.code, a.sealed, a.body, a.whole, a.ended = response.StatusCode, response.Header.Get(names["seal"]) != "", text.String(), a.err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0), time.Now()
	return a
}
