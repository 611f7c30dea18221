package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// Gateway is what an instance is told that stands on the users' platform: it sends
// requests straight to endpoints, and keeps what must last in the platform's store.
type Gateway struct {
	// File is the path that the settings were read from.
	File string

	Instance Instance
	Listen   GatewayListen
	Peer     GatewayPeer
	Store    GatewayStore
	Retry    GatewayRetry
	Orders   GatewayOrders
	Drain    GatewayDrain
	Log      Log
	Trace    Trace
}

// GatewayListen holds the instance's own IP:ports.
type GatewayListen struct {
	// Caller takes requests, Directory questions for addresses, Ready the platform's checks.
	Caller, Directory, Ready string
	// Peer is for other instances.
	Peer string
	// Metrics serves counters and histograms. Empty: no listener.
	Metrics string
}

// GatewayPeer is the side towards other instances.
type GatewayPeer struct {
	// Seeds are IP:port of instances to ask at the start.
	Seeds []string
	// Beat is the time between two heartbeats.
	Beat time.Duration
	// Places are DATACENTRE:REGION pairs, of all data centres.
	Places []string
}

// GatewayStore is the platform's metadata store.
type GatewayStore struct {
	// Address is IP:port.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Wait is how long a watch waits for changes.
	Wait time.Duration
}

// GatewayRetry bounds how often requests are sent to a further endpoint, over all instances.
type GatewayRetry struct {
	// Share is the part of a service's requests in a window, Extra a further number.
	Share  float64
	Extra  int
	Window time.Duration
}

// GatewayOrders bounds orders to endpoints.
type GatewayOrders struct {
	// Apart keeps the orders of two holders apart.
	Apart time.Duration
	// Lease is how long the right to give orders lasts without renewal.
	Lease time.Duration
	// Window and Over bound loads from the weight store: their rate may be Over
	// times the stated one, counted over Window.
	Window time.Duration
	Over   float64
}

// GatewayDrain is how an instance shuts down.
type GatewayDrain struct {
	// Grace is the time from the signal to the end of the process.
	Grace time.Duration
	// Keep is how long callers may keep an answer that names this instance.
	Keep time.Duration
}

// Defaults of a Gateway.
const (
	gatewayHeartbeat    = 300 * time.Millisecond
	gatewayStoreTimeout = time.Second
	gatewayWatchWait    = time.Second
	gatewayLease        = 9 * time.Second
	gatewayAnswerTTL    = time.Second
)

// DefaultGateway returns the settings that hold where a file says nothing.
func DefaultGateway() Gateway {
	return Gateway{
		Peer:   GatewayPeer{Beat: gatewayHeartbeat},
		Store:  GatewayStore{Timeout: gatewayStoreTimeout, Wait: gatewayWatchWait},
		Retry:  GatewayRetry{Share: 0.1, Extra: 10, Window: 10 * time.Second},
		Orders: GatewayOrders{Apart: 3 * time.Second, Lease: gatewayLease, Window: 5 * time.Second, Over: 1},
		Drain:  GatewayDrain{Grace: 8 * time.Second, Keep: gatewayAnswerTTL},
		Log:    Log{Level: LevelInfo, Format: FormatLogfmt},
	}
}

// LoadGateway reads and checks the settings in a file, as Load does.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, &inifile.Error{File: path, Given: fmt.Sprintf("can't read: %v", err), Want: "a readable INI file"}
	}
	return ParseGateway(path, text)
}

// ParseGateway checks settings already read. The name stands for the text in errors.
func ParseGateway(name string, text []byte) (Gateway, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return Gateway{}, err
	}
	c := DefaultGateway()
	c.File = name
	if err := decode(name, gatewaySections(&c), file); err != nil {
		return Gateway{}, err
	}
	if _, ok := c.Regions()[c.Instance.Datacentre]; !ok {
		return Gateway{}, &inifile.Error{
			File: name, Section: "peer", Key: "places",
			Given: fmt.Sprintf("no pair for %q", c.Instance.Datacentre), Want: "the own data centre too",
		}
	}
	return c, nil
}

// Regions returns the region of each data centre.
func (c Gateway) Regions() map[string]string {
	regions := make(map[string]string, len(c.Peer.Places))
	for _, pair := range c.Peer.Places {
		dataCentre, region, _ := strings.Cut(pair, ":")
		regions[dataCentre] = region
	}
	return regions
}

// GatewayKeys describes every key of a gateway's settings, in the order of the sections.
func GatewayKeys() []Key {
	c := DefaultGateway()
	var keys []Key
	for _, s := range gatewaySections(&c) {
		keys = append(keys, inifile.Keys(s.name, s.fields)...)
	}
	return keys
}

func gatewaySections(c *Gateway) []section {
	return []section{
		{"instance", instanceFields(&c.Instance)},
		{"listen", []inifile.Field{
			inifile.Address("caller", &c.Listen.Caller).Must(),
			inifile.Address("directory", &c.Listen.Directory).Must(),
			inifile.Address("ready", &c.Listen.Ready).Must(),
			inifile.Address("peer", &c.Listen.Peer).Must(),
			inifile.Address("metrics", &c.Listen.Metrics),
		}},
		{"peer", []inifile.Field{
			inifile.HostPorts("seeds", &c.Peer.Seeds),
			inifile.Duration("beat", &c.Peer.Beat, minHeartbeat),
			inifile.Names("places", &c.Peer.Places, isDataCentrePair).Saying("DATACENTRE:REGION pairs").Must(),
		}},
		{"store", []inifile.Field{
			inifile.HostPort("address", &c.Store.Address).Must(),
			inifile.Duration("timeout", &c.Store.Timeout, minTimeout),
			inifile.Duration("wait", &c.Store.Wait, minTimeout),
		}},
		{"retry", []inifile.Field{
			inifile.Share("share", &c.Retry.Share),
			inifile.Count("extra", &c.Retry.Extra, 0, maxCount),
			inifile.Duration("window", &c.Retry.Window, time.Second),
		}},
		{"orders", []inifile.Field{
			inifile.Duration("apart", &c.Orders.Apart, 0),
			inifile.Duration("lease", &c.Orders.Lease, minLease),
			inifile.Duration("window", &c.Orders.Window, time.Second),
			inifile.Number("over", &c.Orders.Over, 0, 10),
		}},
		{"drain", []inifile.Field{
			inifile.Duration("grace", &c.Drain.Grace, time.Second),
			inifile.Duration("keep", &c.Drain.Keep, 100*time.Millisecond),
		}},
		{"log", logFields(&c.Log)},
		{"trace", traceFields(&c.Trace)},
	}
}

func isDataCentrePair(text string) bool {
	dataCentre, region, found := strings.Cut(text, ":")
	return found && inifile.IsName(dataCentre) && inifile.IsName(region)
}
