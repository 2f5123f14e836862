// Package catalogue holds one version of the operator's document: routes, services, tenants and limits,
// checked and indexed for look-ups on the request path. A Catalogue never changes.
package catalogue

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// RouteKind tells what may be repeated.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming answers are events with increasing ids.
	Streaming
)

// Errors of documents.
var (
	ErrUnknownService = errors.New("a route names an unknown service")
	ErrDuplicateRoute = errors.New("two routes share host and prefix")
	ErrZeroWeight     = errors.New("the weights of a route add up to 0")
	ErrNoTimeout      = errors.New("a route has no timeout")
	ErrDuplicateKey   = errors.New("two organisations share a key")
	ErrInvalidPrefix  = errors.New("a prefix must begin and end with a slash")
)

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how requests of one host and path prefix are treated.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RouteKind
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that earns its full value.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority    int
	Services    []WeightedService
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another backend server behind the last delivered event.
	Resumable bool
}

// Retryable tells whether a request of the route may run again from its beginning.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a model that groups of an engine service serve.
type Model struct {
	Name string
	// HostsPerGroup is the number of hosts of a group.
	HostsPerGroup int
	// InitialShare is the model's part of the work at the start.
	InitialShare float64
	// TimeFactor multiplies all times of its groups.
	TimeFactor float64
	// ColdLoadTime and WarmLoadTime are the times to join from the weight store and from the host.
	ColdLoadTime, WarmLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the batch size of a group.
	Slots int
	// KVTokens is the KV memory of a group.
	KVTokens int
	Models   []Model
	// StepsPerPass is the number of steps in a pass that writes.
	StepsPerPass int
	// StepTime, TimePerRequest and TimePerThousandTokens are the times of a token step: fixed, for each writing request,
	// and for each thousand tokens of its context.
	StepTime, TimePerRequest, TimePerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// TimePerMillionPairs is the time for each million pairs of a token and an earlier one.
	TimePerMillionPairs time.Duration
	// PrefillChunk is the largest number of prompt tokens read in a step.
	PrefillChunk int
	// LoadsPerSecond and MaxConcurrentLoads limit loads from the weight store.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// MeanPromptTokens and MeanOutputTokens are token counts of the usual request.
	MeanPromptTokens, MeanOutputTokens float64
	// MaxStagedModels is the number of staged models that a host keeps.
	MaxStagedModels int
	// OpenTime is how long a ready group takes to open.
	OpenTime time.Duration
}

// Model returns a model by name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a set of backend servers that run the same program.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one backend server.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's; 0 is the most urgent. HasPriority tells that it was stated.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document are what a document states.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalogue is a checked and indexed document.
type Catalogue struct {
	parts    Document
	services map[string]*Service
	// byHost lists each host's routes, longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// New checks and indexes a document.
func New(p Document) (*Catalogue, error) {
	c := &Catalogue{parts: p, services: map[string]*Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}}
	for i := range p.Services {
		c.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Routes {
		if err := c.addRoute(&p.Routes[i]); err != nil {
			return nil, fmt.Errorf("catalogue.New: route %q: %w", p.Routes[i].Name, err)
		}
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range p.Organisations {
		o := &p.Organisations[i]
		for _, key := range o.Keys {
			if other := c.byKey[key]; other != nil && other != o {
				return nil, fmt.Errorf("catalogue.New: %q and %q: %w", other.Name, o.Name, ErrDuplicateKey)
			}
			c.byKey[key] = o
		}
	}
	return c, nil
}

func (c *Catalogue) addRoute(r *Route) error {
	if r.Timeout <= 0 {
		return ErrNoTimeout
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return ErrInvalidPrefix
	}
	total := 0
	for _, s := range r.Services {
		if c.services[s.Service] == nil {
			return fmt.Errorf("%w: %q", ErrUnknownService, s.Service)
		}
		if s.Weight < 0 {
			return ErrZeroWeight
		}
		total += s.Weight
	}
	if total == 0 {
		return ErrZeroWeight
	}
	host := strings.ToLower(r.Host)
	for _, other := range c.byHost[host] {
		if other.Prefix == r.Prefix {
			return ErrDuplicateRoute
		}
	}
	c.byHost[host] = append(c.byHost[host], r)
	return nil
}

// Version returns the document's version.
func (c *Catalogue) Version() uint64 { return c.parts.Version }

// Limits returns what a caller may send.
func (c *Catalogue) Limits() Limits { return c.parts.Limits }

// RequiresKey tells whether requests to routes that aren't public need a key.
func (c *Catalogue) RequiresKey() bool { return len(c.parts.Organisations) > 0 }

// Service returns a service by name, or nil.
func (c *Catalogue) Service(name string) *Service { return c.services[name] }

// Services returns all services.
func (c *Catalogue) Services() []Service { return c.parts.Services }

// Organisation returns who holds a key, or nil.
func (c *Catalogue) Organisation(key string) *Organisation { return c.byKey[key] }

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Catalogue) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes := c.byHost[host]
	if routes == nil {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = c.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns one of a route's services by weight; u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := int(u * float64(total))
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
