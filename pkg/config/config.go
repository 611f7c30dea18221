// Package config reads and checks the settings of one chiverampd process. They come from
// an INI file; each struct is a section, and each field is named after its key.
package config

import "time"

// Config holds all settings of a process. They are read once, at startup.
type Config struct {
	// File is the path of the settings file.
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

// Instance holds the identity and location of the process.
type Instance struct {
	// Name is unique among all instances.
	Name string
	// Region and Datacentre are the instance's location.
	Region     string
	Datacentre string
	// Incarnation distinguishes this run from earlier runs under the same name. Empty: generated at startup.
	Incarnation string
}

// Caller configures the server for callers.
type Caller struct {
	// Listen is the IP:port that callers connect to.
	Listen string
	// Advertise is the host:port that is announced to callers. Default: Listen.
	Advertise string
	// Body and Header are the maximum sizes of a request body and header, in bytes.
	Body   int64
	Header int64
	// Connections is the maximum number of open connections.
	Connections int
	// Idle is how long a connection may stay open with no request, or with no byte read by the caller.
	Idle time.Duration
	// Keep is how long callers may cache a response to GET /v1/entries.
	Keep time.Duration
}

// Peer configures the communication with other instances.
type Peer struct {
	// Listen is the IP:port that other instances connect to.
	Listen string
	// Advertise is the host:port that is announced to other instances. Default: Listen.
	Advertise string
	// Beat is the heartbeat interval.
	Beat time.Duration
	// Seeds are the host:port of instances to contact while the platform's instance list is unavailable.
	Seeds []string
	// TLS, when set, applies to incoming and outgoing connections.
	TLS TLS
}

// Operator configures the API for operators.
type Operator struct {
	// Listen is the IP:port of the API.
	Listen string
	// Token is a secret shared by all operators. A file:PATH value has been replaced by the
	// content of the file. Empty: no shared secret.
	Token string
	// Keys is the path of a file with one key per operator. Empty: no such file.
	Keys string
	// TLS, when set, is used by the server; with a CA, clients need a certificate too.
	TLS TLS
}

// TLS names certificate files in PEM form.
type TLS struct {
	// Cert and Key are the certificate and private key of this process.
	Cert string
	Key  string
	// CA holds the certificate authorities that must have signed the other side's certificate.
	CA string
}

// Enabled reports whether a certificate is set.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Platform configures access to the platform's key-value service and service registry.
type Platform struct {
	// Address is the base URL of the service.
	Address string
	// Lease is the time after which a lease expires unless it is renewed.
	Lease time.Duration
	// Timeout limits one call.
	Timeout time.Duration
	// Endpoints are the names under which endpoints are listed in the service registry.
	Endpoints []string
	// Instances is the name under which chiverampd instances are listed in the service registry.
	Instances string
}

// Endpoint configures how endpoints are used, and how fast they are assumed to be.
type Endpoint struct {
	// Slots is the maximum number of requests in flight at one endpoint.
	Slots int
	// Timeout is how long an endpoint may stall within one answer.
	Timeout time.Duration
	// Checks are the services whose endpoints reject orders with an outdated fencing
	// token. All others are assumed to accept any order.
	Checks []string
	// Prefill is the prefill throughput of an engine, in prompt tokens per second.
	Prefill float64
	// Pass is the time per token of a single running request, and the time per token that
	// each further active model adds.
	Pass time.Duration
	// Each is the time per token that each further running request adds.
	Each time.Duration
	// Gap is the maximum time between two tokens that starting another request may cause.
	Gap time.Duration
}

// Weights holds the limits of the weight store, for the whole system.
type Weights struct {
	// Rate is the maximum number of loads started per second.
	Rate float64
	// Slots is the maximum number of concurrent loads.
	Slots int
}

// Limits bounds the resources that an instance uses for its callers.
type Limits struct {
	// Streams is the maximum number of concurrent requests on this instance.
	Streams int
	// Retries is the maximum number of attempts after the first for one request, over all hops.
	Retries int
	// Drain is how long a graceful shutdown waits for requests in flight.
	Drain time.Duration
	// Resume is how long an answer can be resumed after its caller disconnected.
	Resume time.Duration
	// Bodies is the memory in bytes of the bodies of all requests.
	Bodies int64
	// Heads is the memory in bytes of all connections of callers, operators and readers of metrics with the
	// heads of their requests.
	Heads int64
	// Replay is the maximum number of bytes of one answer that are buffered for resuming.
	Replay int64
}

// Level is the lowest severity that is logged.
type Level string

// The log levels, least severe first.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatLogfmt Format = "logfmt"
	FormatJSON   Format = "json"
)

// Log configures logging.
type Log struct {
	Level  Level
	Format Format
}

// Trace configures the export of trace spans.
type Trace struct {
	// Endpoint is the OTLP/HTTP URL of a collector. Empty: spans are not exported.
	Endpoint string
	// Sample is the fraction of traces that are sampled, 0 to 1.
	Sample float64
}

// Metrics configures the listener for metrics, health and readiness.
type Metrics struct {
	// Listen is an IP:port. Empty: no listener.
	Listen string
}
