// Package tally counts from the log lines of all instances how requests were served under load: by
// second, route, workspace and model, and how many were refused while a copy of their model was idle.
package tally

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes limits one log line.
const maxLineBytes = 1 << 20

// Request is the end of a request, from one log line.
type Request struct {
	Ended                                       time.Time
	Instance, Route, Model, Workspace, Endpoint string
	Status, Tries, Sent                         int
	// First is the time from the request's arrival to its first byte, 0 if it got none, Whole the
	// time to its end.
	First, Whole time.Duration
	Err          string
}

// Arrived returns when the request arrived.
func (r *Request) Arrived() time.Time { return r.Ended.Add(-r.Whole) }

// Refused reports whether the request was refused without having run.
func (r *Request) Refused() bool { return r.Status == 503 || r.Status == 429 }

// refusalReasons are the reasons of refusals by parts of their errors, in the order in which they
// are looked for.
var refusalReasons = []string{"the wait there is", "too much work is queued", "no endpoint", "adapter", "allotment", "configuration"}

// Reason returns why the request was refused, as one of few reasons.
func (r *Request) Reason() string {
	for _, reason := range refusalReasons {
		if strings.Contains(r.Err, reason) {
			return reason
		}
	}
	return "other"
}

// Read reads the ends of requests from log lines, in the order of their arrival. Text before the
// field "time" of a line, such as a prefix that names a machine, is passed over, as are other lines.
func Read(in io.Reader) ([]Request, error) {
	var all []Request
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		begin := bytes.Index(lines.Bytes(), []byte("time="))
		if begin < 0 || !bytes.Contains(lines.Bytes(), []byte(" step=end ")) {
			continue
		}
		r, err := parse(lines.Bytes()[begin:])
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		all = append(all, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(all, func(a, b Request) int { return a.Arrived().Compare(b.Arrived()) })
	return all, nil
}

func parse(line []byte) (Request, error) {
	var r Request
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if err := r.set(string(d.Key()), string(d.Value())); err != nil {
				return r, fmt.Errorf("field %s: %w", d.Key(), err)
			}
		}
	}
	return r, d.Err()
}

func (r *Request) set(key, value string) (err error) {
	switch key {
	case "time":
		r.Ended, err = time.Parse(time.RFC3339Nano, value)
	case "instance":
		r.Instance = value
	case "route":
		r.Route = value
	case "model":
		r.Model = value
	case "workspace":
		r.Workspace = value
	case "endpoint":
		r.Endpoint = value
	case "status":
		r.Status, err = strconv.Atoi(value)
	case "tries":
		r.Tries, err = strconv.Atoi(value)
	case "sent":
		r.Sent, err = strconv.Atoi(value)
	case "first":
		r.First, err = time.ParseDuration(value)
	case "whole":
		r.Whole, err = time.ParseDuration(value)
	case "err":
		r.Err = value
	}
	return err
}
