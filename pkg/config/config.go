// Package config holds the settings of one chiverampd process, read from an INI file.
package config

import "time"

// Config is all that a process is told at its start.
type Config struct {
	// File is the path that the settings were read from.
	File string

	Instance Instance
	Caller   Caller
	Peer     Peer
	Operator Operator
	Platform Platform
	Endpoint Endpoint
	Weights  Weights
	Limits   Limits
	Log      Log
	Trace    Trace
	Metrics  Metrics
}

// Instance says who and where the process is.
type Instance struct {
	// Name is unique among all instances.
	Name string
	// Region and Datacentre say where the instance stands.
	Region     string
	Datacentre string
	// Incarnation tells this start from an earlier one of the same name. Empty: chosen at the start.
	Incarnation string
}

// Caller is the side towards callers.
type Caller struct {
	// Listen is the IP:port that callers connect to.
	Listen string
	// Advertise is the host:port given out to callers. Default: Listen.
	Advertise string
	// Body and Header are the largest request body and header, bytes.
	Body   int64
	Header int64
	// Connections is the most connections open at once.
	Connections int
	// Idle is how long a connection may stay without a request or without a byte read by its caller.
	Idle time.Duration
	// Keep is how long callers may keep an answer to GET /v1/entries.
	Keep time.Duration
}

// Peer is the side towards other instances.
type Peer struct {
	// Listen is the IP:port that other instances connect to.
	Listen string
	// Advertise is the host:port given out to other instances. Default: Listen.
	Advertise string
	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Seeds are host:port of instances to ask while the platform's list is out of reach.
	Seeds []string
	// TLS is used in both directions when set.
	TLS TLS
}

// Operator is the side towards operators.
type Operator struct {
	// Listen is the IP:port of the operators' API.
	Listen string
	// Token is a secret that all operators may present, already read from its file. Empty: there is none.
	Token string
	// Keys is the path of a file with a key for each operator. Empty: there is none.
	Keys string
	// TLS is used by the server when set; with a CA, clients need a certificate too.
	TLS TLS
}

// TLS names certificate files in PEM form.
type TLS struct {
	// Cert and Key are this process's own certificate and private key.
	Cert string
	Key  string
	// CA holds the certificates that the other side's must be signed by.
	CA string
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Platform is the platform's key-value service and instance list.
type Platform struct {
	// Address is the base URL of the service.
	Address string
	// Lease is the time after which an unrenewed lease lapses.
	Lease time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	// Endpoints are the service names of endpoints in the platform's list.
	Endpoints []string
	// Instances is the service name of chiverampd instances in the platform's list.
	Instances string
}

// Endpoint is the side towards endpoints.
type Endpoint struct {
	// Slots is the most requests in flight at one endpoint.
	Slots int
	// Timeout is the longest silence of an endpoint within one answer.
	Timeout time.Duration
	// Checks are the services whose endpoints refuse orders with an old fencing
	// number. All others are taken to accept any order.
	Checks []string
	// Prefill is the rate at which an engine reads prompts, tokens a second.
	Prefill float64
	// Pass is the time for one token of a lone answer, and of each further model at work.
	Pass time.Duration
	// Each is what every further running answer adds to the time for one token.
	Each time.Duration
	// Gap is the longest time between two tokens that a further start may cause.
	Gap time.Duration
}

// Weights are the limits of the weight store, over the whole system.
type Weights struct {
	// Rate is the most loads started in a second.
	Rate float64
	// Slots is the most loads running at once.
	Slots int
}

// Limits bound what an instance holds for its callers.
type Limits struct {
	// Streams is the most requests at once on this instance.
	Streams int
	// Retries is the most attempts after the first for one request, over all hops.
	Retries int
	// Drain is how long a graceful shutdown waits for requests in flight.
	Drain time.Duration
	// Resume is how long an answer can be resumed after its caller went away.
	Resume time.Duration
	// Replay is the most bytes of one answer kept for resuming.
	Replay int64
}

// Level is the least severe level that is logged.
type Level string

// The levels, least severe first.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the form of log lines.
type Format string

// The forms of log lines.
const (
	FormatLogfmt Format = "logfmt"
	FormatJSON   Format = "json"
)

// Log says what is logged and how.
type Log struct {
	Level  Level
	Format Format
}

// Trace says where spans go.
type Trace struct {
	// Endpoint is the OTLP/HTTP URL of a collector. Empty: spans are not exported.
	Endpoint string
	// Sample is the share of traces kept, 0 to 1.
	Sample float64
}

// Metrics is the listener for metrics, health and readiness.
type Metrics struct {
	// Listen is an IP:port. Empty: no listener.
	Listen string
}
