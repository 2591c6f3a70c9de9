// Package deployment describes what an instance knows of the deployment that it
// serves: its own settings, the configuration that operators wrote, the backend
// servers, and what a backend server reports of itself.
//
// Usage: the adapter of a platform decodes its own formats into these types once,
// and the rest of the program reads nothing else:
//
//	var settings deployment.Settings
//	var configuration deployment.Configuration
//	route, ok := routing.NewTable(configuration).Match(host, path)
//
// The types carry no tags. They are values; what holds references is not changed
// after it has been decoded.
package deployment

import "time"

// Zone names an availability zone.
type Zone string

// InstanceID names one instance of the router, over all its restarts.
type InstanceID string

// BackendID names one incarnation of a backend server.
type BackendID string

// Address is an IP address and port.
type Address string

// ServiceName names a group of backend servers that serve the same requests.
type ServiceName string

// RouteName names a route of the configuration.
type RouteName string

// Team names a team whose keys a configuration lists.
type Team string

// APIKey is the secret with which a request proves its team.
type APIKey string

// Version is the version of a configuration. Later ones are larger.
type Version int64

// Megabytes is an amount of memory in units of 1,000,000 bytes.
type Megabytes float64

// Settings is what an instance learns at its start.
type Settings struct {
	Instance      InstanceID
	Zone          Zone
	IP            string
	FrontAddress  Address
	ReadyAddress  Address
	PeerAddress   Address   // where this instance accepts links of others
	Seeds         []Address // of others, which may be gone
	StoreAddress  Address
	MemoryLimit   int64 // bytes
	ShutdownGrace time.Duration
	RetryRatio    float64
	RetryWindow   time.Duration
	RetryReserve  int
}

// RequestKind says what may be repeated of the requests on a route.
type RequestKind int

// The kinds of requests.
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

// Configuration is one version of what the operators want, in full.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Teams is empty where requests need no key.
	Teams []TeamKeys
}

// Route sends the requests of a host below a path prefix to services.
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

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// TeamKeys is a team with the keys that are valid for it.
type TeamKeys struct {
	Team     Team
	APIKeys  []APIKey
	Priority int
	// HasPriority tells whether Priority replaces that of the route.
	HasPriority bool
}

// Limits bound what a client may send and how long it may take.
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
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes how the backend servers of a model service compute.
type Engine struct {
	Layers              int
	LayerSize           Megabytes
	KVBytesPerToken     float64
	StepTime            time.Duration
	StepPerRequest      time.Duration
	StepPerKContext     time.Duration
	Stride              int
	LoadTime            time.Duration
	Accelerators        map[string]Accelerator
	TypicalPromptTokens float64 // tokens
	TypicalOutputTokens float64 // tokens
}

// Accelerator is a kind of card.
type Accelerator struct {
	Memory     Megabytes
	StepFactor float64
	ReadFactor float64
}

// LayerRange is the layers from First up to, and not including, End.
type LayerRange struct {
	First int
	End   int
}

// Len is the number of layers.
func (r LayerRange) Len() int { return r.End - r.First }

// Contains tells whether all of other lies in r.
func (r LayerRange) Contains(other LayerRange) bool {
	return r.First <= other.First && other.End <= r.End
}

// Intersect is the layers of r that other has too, empty where there are none.
func (r LayerRange) Intersect(other LayerRange) LayerRange {
	common := LayerRange{First: max(r.First, other.First), End: min(r.End, other.End)}
	if common.Len() <= 0 {
		return LayerRange{}
	}
	return common
}

// Backend is a backend server as the platform lists it.
type Backend struct {
	ID      BackendID
	Service ServiceName
	Address Address
	Zone    Zone
	Slots   int
	// Draining is set once the backend server has announced that it leaves.
	Draining bool
	// Accelerator is empty for plain services.
	Accelerator string
	Layers      LayerRange
	// StartedAt is the start of this process of the backend server.
	StartedAt time.Time
}

// Report is what a model's backend server says of itself when asked.
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

// StalledRequest is a request that waits for a stage that does not answer.
type StalledRequest struct {
	RequestID string
	Address   Address
}

// Hop is one stage of a path.
type Hop struct {
	Address Address
	Layers  LayerRange
}

// Placement orders a backend server to hold exactly these layers.
type Placement struct {
	Backend          BackendID
	Address          Address
	Layers           LayerRange
	ExpectedSequence int64 // the order count that the backend server must have
	FencingToken     int64
}

// PlacementOutcome says what became of an order.
type PlacementOutcome int

// The outcomes of an order. After OutcomeUnknown the order may still be carried
// out, also after later ones.
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
