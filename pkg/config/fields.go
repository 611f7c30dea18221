package config

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// section lists the keys of one section of a settings file, bound to the fields of a struct.
type section struct {
	name   string
	fields []inifile.Field
}

const (
	minHeartbeat   = 50 * time.Millisecond
	minLease       = time.Second
	minTimeout     = 10 * time.Millisecond
	minTokenTime   = time.Microsecond
	minRequestSize = 1 << 10
	minIntake      = 1 << 20
	maxCount       = 1 << 20
	wantToken      = "a secret of 16 bytes or more, or file:PATH of one"
)

func sections(c *Config) []section {
	return []section{
		{"instance", instanceFields(&c.Instance)},
		{"caller", callerFields(&c.Caller)},
		{"peer", peerFields(&c.Peer)},
		{"operator", operatorFields(&c.Operator)},
		{"platform", platformFields(&c.Platform)},
		{"endpoint", endpointFields(&c.Endpoint)},
		{"weights", weightsFields(&c.Weights)},
		{"limits", limitsFields(&c.Limits)},
		{"log", logFields(&c.Log)},
		{"trace", traceFields(&c.Trace)},
		{"metrics", []inifile.Field{inifile.Address("listen", &c.Metrics.Listen)}},
	}
}

func instanceFields(i *Instance) []inifile.Field {
	return []inifile.Field{
		inifile.Name("name", &i.Name).AsRequired(),
		inifile.Name("region", &i.Region).AsRequired(),
		inifile.Name("datacentre", &i.Datacentre).AsRequired(),
		inifile.Name("incarnation", &i.Incarnation),
	}
}

func callerFields(c *Caller) []inifile.Field {
	return []inifile.Field{
		inifile.Address("listen", &c.Listen).AsRequired(),
		inifile.HostPort("advertise", &c.Advertise),
		inifile.Size("body", &c.Body, minRequestSize),
		inifile.Size("header", &c.Header, minRequestSize),
		inifile.Count("connections", &c.Connections, 1, maxCount),
		inifile.Duration("idle", &c.Idle, time.Second),
		inifile.Duration("keep", &c.Keep, 100*time.Millisecond),
	}
}

func peerFields(p *Peer) []inifile.Field {
	return append([]inifile.Field{
		inifile.Address("listen", &p.Listen).AsRequired(),
		inifile.HostPort("advertise", &p.Advertise),
		inifile.Duration("beat", &p.Beat, minHeartbeat),
		inifile.HostPorts("seeds", &p.Seeds),
	}, tlsFields(&p.TLS)...)
}

func operatorFields(o *Operator) []inifile.Field {
	return append([]inifile.Field{
		inifile.Address("listen", &o.Listen).AsRequired(),
		inifile.Text("token", &o.Token).WithWant(wantToken),
		inifile.Text("keys", &o.Keys).WithWant("the path of an INI file of keys"),
	}, tlsFields(&o.TLS)...)
}

func tlsFields(t *TLS) []inifile.Field {
	const want = "the path of a PEM file"
	return []inifile.Field{
		inifile.Text("cert", &t.Cert).WithWant(want),
		inifile.Text("key", &t.Key).WithWant(want),
		inifile.Text("ca", &t.CA).WithWant(want),
	}
}

func platformFields(p *Platform) []inifile.Field {
	return []inifile.Field{
		inifile.URL("address", &p.Address).AsRequired(),
		inifile.Duration("lease", &p.Lease, minLease),
		inifile.Duration("timeout", &p.Timeout, minTimeout),
		inifile.Names("endpoints", &p.Endpoints, nil),
		inifile.Name("instances", &p.Instances),
	}
}

func endpointFields(e *Endpoint) []inifile.Field {
	return []inifile.Field{
		inifile.Count("slots", &e.Slots, 1, maxCount),
		inifile.Duration("timeout", &e.Timeout, minTimeout),
		inifile.Names("checks", &e.Checks, nil),
		inifile.Rate("prefill", &e.Prefill),
		inifile.Duration("pass", &e.Pass, minTokenTime),
		inifile.Duration("each", &e.Each, minTokenTime),
		inifile.Duration("gap", &e.Gap, minTokenTime),
	}
}

func weightsFields(w *Weights) []inifile.Field {
	return []inifile.Field{
		inifile.Rate("rate", &w.Rate),
		inifile.Count("slots", &w.Slots, 1, maxCount),
	}
}

func limitsFields(l *Limits) []inifile.Field {
	return []inifile.Field{
		inifile.Count("streams", &l.Streams, 1, maxCount),
		inifile.Count("retries", &l.Retries, 0, 100),
		inifile.Duration("drain", &l.Drain, 0),
		inifile.Duration("resume", &l.Resume, 0),
		inifile.Size("bodies", &l.Bodies, minIntake),
		inifile.Size("heads", &l.Heads, minIntake),
		inifile.Size("replay", &l.Replay, 0),
	}
}

func logFields(l *Log) []inifile.Field {
	return []inifile.Field{
		inifile.Choice("level", &l.Level, LevelDebug, LevelInfo, LevelWarn, LevelError),
		inifile.Choice("format", &l.Format, FormatLogfmt, FormatJSON),
	}
}

func traceFields(t *Trace) []inifile.Field {
	return []inifile.Field{
		inifile.URL("endpoint", &t.Endpoint),
		inifile.Share("sample", &t.Sample),
	}
}
