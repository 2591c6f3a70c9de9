// Package deployment defines the types that describe a deployment to an instance: its
// own settings, the configuration written by operators, the backend servers, and the
// reports of backend servers.
//
// Usage: the platform package decodes its formats into these types once, and the packages
// of the router use only these types:
//
//	configuration, err := platform.DecodeConfiguration(data)
//	decision, err := routing.NewTable(configuration).Decide(host, path, key)
//
// The types have no struct tags. They are values; what their slices, maps and pointers
// refer to does not change after decoding.
package deployment

import "time"

// Zone is the name of an availability zone.
type Zone string

// InstanceID identifies an instance of the router. It stays the same when the instance
// restarts.
type InstanceID string

// BackendID identifies a backend server. A server may restart under the same ID; its
// Backend.StartedAt then differs.
type BackendID string

// Address is an IP address and a port, in the form IP:PORT.
type Address string

// ServiceName is the name of a group of backend servers that serve the same requests.
type ServiceName string

// RouteName is the name of a route in the configuration.
type RouteName string

// Team is the name of a team whose API keys the configuration lists.
type Team string

// APIKey is the secret that authenticates a request as one of a team.
type APIKey string

// PromptPartID identifies a part of a prompt. Requests whose prompts share a part name the
// same ID.
type PromptPartID string

// Version is the version of a configuration. Later versions are larger.
type Version int64

// Megabytes is an amount of memory in units of 1,000,000 bytes.
type Megabytes float64

// Settings are the settings of one instance. RetryRatio, RetryWindow and RetryReserve
// bound the retries that all instances together send to a service; see
// retrybudget.Bounds.
type Settings struct {
	Instance     InstanceID
	Zone         Zone
	IP           string
	FrontAddress Address
	ReadyAddress Address
	PeerAddress  Address   // on which this instance accepts links from peers
	Seeds        []Address // of peers; may include this instance's own and some that no longer exist
	StoreAddress Address
	MemoryLimit  int64 // bytes, 0 for none
	// MaxDescriptors is how many descriptors the process may have open, 0 for no limit.
	MaxDescriptors int
	ShutdownGrace  time.Duration
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryReserve   int
}

// RequestKind determines how requests on a route may be retried.
type RequestKind int

// The kinds of requests. A NonIdempotent request must not be sent again once a backend
// server may have executed it.
const (
	Idempotent RequestKind = iota
	NonIdempotent
	Streaming
)

func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "streaming"
	}
}

// Configuration is one complete version of the configuration written by operators.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKey is set if a request needs the API key of a team, unless its route is public. It may be set
	// without any team: then no key is valid.
	RequiresKey bool
	Teams       []TeamKeys
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name           RouteName
	Host           string
	PathPrefix     string
	Kind           RequestKind
	Timeout        time.Duration
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	Priority       int
	MaxAttempts    int
	Public         bool
	Resumable      bool
	Targets        []WeightedService
}

// WeightedService is a service with its weight. A service gets a share of the requests
// of a route in proportion to its weight.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// TeamKeys is a team with its valid API keys. An empty one is never valid.
type TeamKeys struct {
	Team     Team
	APIKeys  []APIKey
	Priority int
	// HasPriority reports whether Priority replaces the priority of the route.
	HasPriority bool
}

// Limits bound the size of client requests and the time that a client may take. Zero
// means no limit for HeaderBytes and BodyBytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of backend servers.
type Service struct {
	Name           ServiceName
	HealthPath     string
	MaxConnections int // to one backend server, from all instances together; 0 means no limit
	// Engine is nil if this is a plain service.
	Engine *Engine
}

// Engine describes the model of a model service and how fast its backend servers compute.
type Engine struct {
	Layers              int
	LayerSize           Megabytes
	KVBytesPerToken     float64       // for all layers
	StepTime            time.Duration // one token through all layers, with a StepFactor of 1
	StepPerRequest      time.Duration // added to StepTime for each request at the server
	StepPerKContext     time.Duration // added to StepTime for each 1000 tokens of context of these requests
	Stride              int           // number of tokens per event of a stream; at least 1
	LoadTime            time.Duration // to load all layers
	Accelerators        map[string]Accelerator
	TypicalPromptTokens float64
	TypicalOutputTokens float64
	// PrefillRate is the number of prompt tokens a second through all layers, with a
	// ReadFactor of 1. It is 0 if not known.
	PrefillRate float64
	// TargetEventGap is the shortest TargetEventGap of the routes to the service, 0 if none
	// has one.
	TargetEventGap time.Duration
}

// TypicalTokens returns the tokens that a typical request holds in memory, halfway through
// its output.
func (e *Engine) TypicalTokens() float64 { return e.TypicalPromptTokens + e.TypicalOutputTokens/2 }

// RequestSize is the size of a request to a model, in tokens, as its client states it. A field
// is 0 if it is not stated.
type RequestSize struct {
	PromptTokens    int
	MaxOutputTokens int // bound on the output
	ExpectedOutput  int // estimate of the output; often far off
}

// Accelerator is a type of accelerator card.
type Accelerator struct {
	Memory     Megabytes
	StepFactor float64 // multiplies the time of a step
	ReadFactor float64 // multiplies the time of a prompt's tokens
}

// LayerRange is the range of layers from First up to, but not including, End.
type LayerRange struct {
	First int
	End   int
}

// Len returns the number of layers. It is not positive if the range is empty.
func (r LayerRange) Len() int { return r.End - r.First }

// Contains reports whether other lies completely within r.
func (r LayerRange) Contains(other LayerRange) bool {
	return r.First <= other.First && other.End <= r.End
}

// Intersect returns the layers that are in both ranges. If there are none, it returns the
// zero LayerRange.
func (r LayerRange) Intersect(other LayerRange) LayerRange {
	common := LayerRange{First: max(r.First, other.First), End: min(r.End, other.End)}
	if common.Len() <= 0 {
		return LayerRange{}
	}
	return common
}

// Backend is an entry of the platform's list of backend servers.
type Backend struct {
	ID      BackendID
	Service ServiceName
	Address Address
	Zone    Zone
	Slots   int // number of requests that it serves at once
	// Draining is set once the backend server has announced its shutdown.
	Draining bool
	// Accelerator is empty for plain services.
	Accelerator string
	Layers      LayerRange
	// StartedAt is when this process of the backend server started.
	StartedAt time.Time
}

// Incarnation identifies one run of a backend server.
type Incarnation struct {
	Server    BackendID
	StartedAt int64 // Unix milliseconds
}

// Incarnation returns the incarnation that an entry of the backend list describes.
func (b Backend) Incarnation() Incarnation {
	return Incarnation{Server: b.ID, StartedAt: b.StartedAt.UnixMilli()}
}

// Report is the state that a backend server of a model service reports on request.
type Report struct {
	Sequence    int64
	Busy        bool
	Waiting     int
	Running     int
	KVUsed      float64 // tokens times layers
	KVTotal     float64 // tokens times layers
	Slowdown    float64
	Accelerator string
	Layers      LayerRange
	StartedAt   time.Time
	Stalled     []StalledRequest
}

// StalledRequest is a request that waits for an unresponsive stage.
type StalledRequest struct {
	RequestID string
	Address   Address // of the stage
}

// Hop is one stage of a path, with the layers that it computes for the path.
type Hop struct {
	Address Address
	Layers  LayerRange
}

// Placement is a placement order: the backend server must hold exactly these layers.
type Placement struct {
	Backend          BackendID
	Address          Address
	Layers           LayerRange
	ExpectedSequence int64 // the order is rejected if the server's Report.Sequence differs
	FencingToken     int64
}

// PlacementOutcome is the outcome of a placement order.
type PlacementOutcome int

// The outcomes of a placement order. After OutcomeUnknown the backend server may still
// execute the order, even after later orders.
const (
	OutcomeStarted PlacementOutcome = iota
	OutcomeAlreadyHeld
	OutcomeConflict
	OutcomeFenced
	OutcomeWrongServer
	OutcomeUnknown
)

func (o PlacementOutcome) String() string {
	return [...]string{"started", "holds", "conflict", "fenced", "gone", "unknown"}[o]
}

// ServerStatement is what a backend server says of itself in a response.
type ServerStatement struct {
	Leaving bool          // it takes nothing new until it has ended
	Wait    time.Duration // it wants no requests for so long, 0 if it takes them
}
