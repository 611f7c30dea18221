package config

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// Gateway holds the settings of an instance that runs on the users' platform: it sends
// requests directly to endpoints and persists its state in the platform's store.
type Gateway struct {
	// File is the path of the settings file.
	File string

	Instance   Instance
	Listen     GatewayListen
	Peer       GatewayPeer
	Store      GatewayStore
	Retry      GatewayRetry
	Orders     GatewayOrders
	Limits     GatewayLimits
	Drain      GatewayDrain
	Workspaces GatewayWorkspaces
	Load       GatewayLoad
	Log        Log
	Trace      Trace
}

// GatewayListen holds the IP:ports on which the instance listens.
type GatewayListen struct {
	// Caller serves requests, Directory address lookups, and Ready the platform's readiness checks.
	Caller, Directory, Ready string
	// Peer serves other instances.
	Peer string
	// Metrics serves counters and histograms. Empty: no listener.
	Metrics string
}

// GatewayPeer configures the communication with other instances.
type GatewayPeer struct {
	// Seeds are the IP:port of instances to contact at startup.
	Seeds []string
	// Beat is the heartbeat interval.
	Beat time.Duration
	// Places are DATACENTRE:REGION pairs, one for each data centre.
	Places []string
}

// GatewayStore configures access to the platform's metadata store.
type GatewayStore struct {
	// Address is the IP:port of the store.
	Address string
	// Timeout limits one call, and in reads of lists and changes, which may be large, the time
	// without progress.
	Timeout time.Duration
	// Wait is how long one watch call waits for changes.
	Wait time.Duration
}

// GatewayRetry is the retry budget: it limits how often requests are sent to another
// endpoint, over all instances.
type GatewayRetry struct {
	// Share is the fraction of a service's requests within Window that may be retried.
	// Extra is the number of retries on top of it; platforms state fractions too.
	Share  float64
	Extra  float64
	Window time.Duration
}

// GatewayOrders limits the orders that are sent to endpoints.
type GatewayOrders struct {
	// Apart is how long a new holder of the order lease waits before its first order, so
	// that no order of the previous holder can still arrive after it.
	Apart time.Duration
	// Lease is the time after which the order lease expires unless it is renewed.
	Lease time.Duration
	// Window and Over limit loads from the weight store: within Window, their rate may
	// be Over times the stated rate.
	Window time.Duration
	Over   float64
}

// GatewayLimits limits the memory of requests and the answers of endpoints, and the time of bodies.
type GatewayLimits struct {
	// Answer is the size in bytes up to which an answer other than a stream is passed on.
	Answer int64
	// Held is the memory in bytes of all answers that are held at once until they are complete.
	Held int64
	// Bodies is the memory in bytes of the bodies of all requests that are served at once.
	Bodies int64
	// Upload is how long a body may take to arrive, unless its caller waits for less.
	Upload time.Duration
	// Heads is the memory in bytes of all connections of HTTP clients with the heads of their requests.
	Heads int64
	// Descriptors is how many descriptors the process may open. At 0 the system's limit counts.
	Descriptors int
	// Memory is the memory in bytes of the process from which on garbage is collected at once.
	Memory int64
}

// GatewayDrain configures the graceful shutdown of an instance.
type GatewayDrain struct {
	// Grace is the time between the termination signal and the exit of the process.
	Grace time.Duration
	// Keep is how long callers may cache a response that names this instance.
	Keep time.Duration
}

// GatewayWorkspaces configures the keys of workspaces.
type GatewayWorkspaces struct {
	// Strict is set if a revoked key must stop within Revoke at every instance: one that can't
	// tell that its configuration is younger serves no request with a key.
	Strict bool
	Revoke time.Duration
}

// GatewayLoad configures what is done for services under hard load. Each key is the size from which
// a service gets it; at 0 none does.
type GatewayLoad struct {
	// Follow is the number of loads a second that the weight store allows from which copies follow
	// the demand that is rising.
	Follow float64
	// Even and Queue are the number of endpoints from which instances spread their requests by
	// the answers to admissions, and from which requests wait for room.
	Even, Queue int
	// Plain is the number of endpoints of a service whose requests are spread from which services
	// without models beside it are chosen by the speed of their endpoints.
	Plain int
}

// Defaults of a Gateway.
const (
	gatewayHeartbeat    = 300 * time.Millisecond
	gatewayStoreTimeout = time.Second
	gatewayWatchWait    = time.Second
	gatewayLease        = 9 * time.Second
	gatewayAnswerTTL    = time.Second
	gatewayMaxAnswer    = 16 << 20 // bytes
	gatewayHeldAnswers  = 24 << 20 // bytes
	gatewayBodies       = 32 << 20 // bytes
	gatewayUpload       = 30 * time.Second
	gatewayHeads        = 48 << 20 // bytes
	gatewayDescriptors  = 4100
	gatewayMemory       = 160 << 20 // bytes
	minAnswerLimit      = 1 << 20   // bytes
	gatewayRevoke       = 5 * time.Second
	gatewayFollow       = 12 // loads a second
	gatewayEven         = 80 // endpoints
	gatewayQueue        = 80 // endpoints
)

// DefaultGateway returns the default settings of a Gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Peer:   GatewayPeer{Beat: gatewayHeartbeat},
		Store:  GatewayStore{Timeout: gatewayStoreTimeout, Wait: gatewayWatchWait},
		Retry:  GatewayRetry{Share: 0.1, Extra: 10, Window: 10 * time.Second},
		Orders: GatewayOrders{Apart: 3 * time.Second, Lease: gatewayLease, Window: 5 * time.Second, Over: 1},
		Limits: GatewayLimits{Answer: gatewayMaxAnswer, Held: gatewayHeldAnswers, Bodies: gatewayBodies, Upload: gatewayUpload, Heads: gatewayHeads, Descriptors: gatewayDescriptors, Memory: gatewayMemory},
		Drain:  GatewayDrain{Grace: 8 * time.Second, Keep: gatewayAnswerTTL},

		Workspaces: GatewayWorkspaces{Revoke: gatewayRevoke},
		Load:       GatewayLoad{Follow: gatewayFollow, Even: gatewayEven, Queue: gatewayQueue},

		Log: Log{Level: LevelInfo, Format: FormatLogfmt},
	}
}

// LoadGateway reads and checks a settings file. Errors have the form of those of Load.
func LoadGateway(path string) (Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, &inifile.Error{File: path, Got: fmt.Sprintf("can't read: %v", err), Want: "a readable INI file"}
	}
	return ParseGateway(path, text)
}

// ParseGateway parses and checks the text of a settings file. Errors refer to the text by name.
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
			Got: fmt.Sprintf("no pair for %q", c.Instance.Datacentre), Want: "the own data centre too",
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

// GatewayKeys describes every settings key of Gateway, in section order.
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
			inifile.Address("caller", &c.Listen.Caller).AsRequired(),
			inifile.Address("directory", &c.Listen.Directory).AsRequired(),
			inifile.Address("ready", &c.Listen.Ready).AsRequired(),
			inifile.Address("peer", &c.Listen.Peer).AsRequired(),
			inifile.Address("metrics", &c.Listen.Metrics),
		}},
		{"peer", []inifile.Field{
			inifile.HostPorts("seeds", &c.Peer.Seeds),
			inifile.Duration("beat", &c.Peer.Beat, minHeartbeat),
			inifile.Names("places", &c.Peer.Places, isDataCentrePair).WithWant("DATACENTRE:REGION pairs").AsRequired(),
		}},
		{"store", []inifile.Field{
			inifile.HostPort("address", &c.Store.Address).AsRequired(),
			inifile.Duration("timeout", &c.Store.Timeout, minTimeout),
			inifile.Duration("wait", &c.Store.Wait, minTimeout),
		}},
		{"retry", []inifile.Field{
			inifile.Share("share", &c.Retry.Share),
			inifile.Number("extra", &c.Retry.Extra, 0, maxCount).WithWant("a number from 0 to " + strconv.Itoa(maxCount)),
			inifile.Duration("window", &c.Retry.Window, time.Second),
		}},
		{"orders", []inifile.Field{
			inifile.Duration("apart", &c.Orders.Apart, 0),
			inifile.Duration("lease", &c.Orders.Lease, minLease),
			inifile.Duration("window", &c.Orders.Window, time.Second),
			inifile.Number("over", &c.Orders.Over, 0, 10),
		}},
		{"limits", []inifile.Field{
			inifile.Size("answer", &c.Limits.Answer, minAnswerLimit),
			inifile.Size("held", &c.Limits.Held, minAnswerLimit),
			inifile.Size("bodies", &c.Limits.Bodies, minAnswerLimit),
			inifile.Duration("upload", &c.Limits.Upload, time.Second),
			inifile.Size("heads", &c.Limits.Heads, minAnswerLimit),
			inifile.Count("descriptors", &c.Limits.Descriptors, 0, maxCount),
			inifile.Size("memory", &c.Limits.Memory, minAnswerLimit),
		}},
		{"drain", []inifile.Field{
			inifile.Duration("grace", &c.Drain.Grace, time.Second),
			inifile.Duration("keep", &c.Drain.Keep, 100*time.Millisecond),
		}},
		{"workspaces", []inifile.Field{
			flag("strict", &c.Workspaces.Strict),
			inifile.Duration("revoke", &c.Workspaces.Revoke, 0),
		}},
		{"load", []inifile.Field{
			inifile.Number("follow", &c.Load.Follow, 0, maxCount).WithWant("a number from 0 to " + strconv.Itoa(maxCount)),
			inifile.Count("even", &c.Load.Even, 0, maxCount),
			inifile.Count("queue", &c.Load.Queue, 0, maxCount),
			inifile.Count("plain", &c.Load.Plain, 0, maxCount),
		}},
		{"log", logFields(&c.Log)},
		{"trace", traceFields(&c.Trace)},
	}
}

// flag binds a key to a truth value in the platform's words; platforms without it state nothing.
func flag(key string, target *bool) inifile.Field {
	return inifile.Custom(key, "true, false or nothing", func(text string) bool {
		*target = text == "true"
		return *target || text == "false" || text == ""
	}, func() string { return strconv.FormatBool(*target) })
}

func isDataCentrePair(text string) bool {
	dataCentre, region, found := strings.Cut(text, ":")
	return found && inifile.IsName(dataCentre) && inifile.IsName(region)
}
