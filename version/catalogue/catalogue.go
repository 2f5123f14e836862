// Package catalogue holds one version of the operators' document: routes, services, organisations and limits,
// checked and indexed for look-ups on the request path. A Catalogue is immutable.
package catalogue

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// RouteKind states which kind of response the requests of a route get, and whether they may run more than once.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests get a stream of events with increasing ids.
	Streaming
)

// Errors of documents.
var (
	ErrUnknownService = errors.New("a route names an unknown service")
	ErrDuplicateRoute = errors.New("two routes share host and prefix")
	ErrInvalidWeight  = errors.New("the weights of a route add up to 0")
	ErrNoTimeout      = errors.New("a route has no timeout")
	ErrDuplicateKey   = errors.New("two organisations share a key")
	ErrInvalidPrefix  = errors.New("a prefix must begin and end with a slash")
)

// WeightedService is a service of a route. Its fraction of the route's requests is Weight divided by the sum of
// the route's weights.
type WeightedService struct {
	Service string
	Weight  int
}

// Route states how requests to one host and path prefix are handled.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RouteKind
	Timeout time.Duration
	// Objective is the longest time to the response, or to the first event of a stream, at which the request is on time.
	Objective time.Duration
	// GapObjective is the longest pause between two events at which a stream is on time.
	GapObjective time.Duration
	// Priority orders requests in admission; 0 is the most urgent.
	Priority    int
	Services    []WeightedService
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued by another backend server after the last delivered event.
	Resumable bool
	// Regions are those in which requests may be handled; empty for all.
	Regions []string
}

// Retryable reports whether a request of the route may be run again from its beginning.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a model served by groups of an engine service.
type Model struct {
	Name string
	// HostsPerGroup is the number of hosts in a group.
	HostsPerGroup int
	// InitialShare is the model's share of the demand, used for the initial groups and while no demand has been observed.
	InitialShare float64
	// TimeFactor multiplies all prefill and decode times of the model's groups.
	TimeFactor float64
	// ColdLoadTime and WarmLoadTime are how long a join takes with weights from the weight store and from the host.
	ColdLoadTime, WarmLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the batch size of a group, in requests.
	Slots int
	// KVTokens is the KV cache capacity of a group, in tokens.
	KVTokens int
	Models   []Model
	// StepsPerPass is the number of steps in an engine pass that decodes.
	StepsPerPass int
	// StepTime, TimePerRequest and TimePerThousandTokens add up to the time of a decode step: a fixed part, a part for
	// each decoding request, and a part for each thousand tokens of its context.
	StepTime, TimePerRequest, TimePerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// AttentionTimePerMillionPairs is the prefill time for each million pairs of a token and an earlier one (attention).
	AttentionTimePerMillionPairs time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in a step.
	PrefillChunk int
	// LoadsPerSecond and MaxConcurrentLoads limit the rate and the number of loads from the weight store.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// MeanPromptTokens and MeanOutputTokens are the token counts of an average request.
	MeanPromptTokens, MeanOutputTokens float64
	// MaxStagedModels is the maximum number of staged models on a host.
	MaxStagedModels int
	// OpenTime is how long a ready group takes to open for requests.
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
	// ColdTime is how long a server that starts during traffic is cold, and ColdPerSecond the number of requests per second that
	// a cold one takes from all entry hosts together; 0 if it isn't limited.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority orders requests before the route's priority does; 0 is the most urgent. It is set if HasPriority is.
	Priority    int
	HasPriority bool
	// Regions are those in which the organisation's requests may be handled; empty for all.
	Regions []string
}

// Limits bound a caller's requests and connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is the decoded content of an operators' document.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalogue is a checked and indexed document.
type Catalogue struct {
	document Document
	services map[string]*Service
	// byHost lists the routes of each host, in lower case, longest prefix first.
	byHost map[string][]*Route
	// byKey is keyed by API key.
	byKey map[string]*Organisation
	// problem is what Validate returns.
	problem error
}

// New checks and indexes a document. Numbers that are out of range are brought into range, so that a document which an
// earlier version has accepted stays in force. Validate returns an error for such a document.
func New(d Document) (*Catalogue, error) {
	c := &Catalogue{services: map[string]*Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{}}
	var b bounds
	b.document(&d)
	c.document = d
	for i := range d.Services {
		if c.services[d.Services[i].Name] != nil {
			b.problem(fmt.Sprintf("service %q", d.Services[i].Name), ErrDuplicateName)
		}
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	if b.err != nil {
		c.problem = fmt.Errorf("Catalogue.Validate: %w", b.err)
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, fmt.Errorf("catalogue.New: route %q: %w", d.Routes[i].Name, err)
		}
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		for _, key := range o.Keys {
			if key == "" {
				continue // a request without a key has none
			}
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
			return ErrInvalidWeight
		}
		total += s.Weight
	}
	if total == 0 {
		return ErrInvalidWeight
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

// Validate returns an error if the document must not be accepted, although New could make a catalogue of it.
func (c *Catalogue) Validate() error { return c.problem }

// Version returns the document's version.
func (c *Catalogue) Version() uint64 { return c.document.Version }

// Limits returns the limits on callers' requests and connections.
func (c *Catalogue) Limits() Limits { return c.document.Limits }

// RequiresKey reports whether requests to routes that aren't public need an API key.
func (c *Catalogue) RequiresKey() bool { return len(c.document.Organisations) > 0 }

// Service returns a service by name, or nil.
func (c *Catalogue) Service(name string) *Service { return c.services[name] }

// Services returns all services.
func (c *Catalogue) Services() []Service { return c.document.Services }

// Organisation returns the organisation that an API key belongs to, or nil.
func (c *Catalogue) Organisation(key string) *Organisation { return c.byKey[key] }

// RouteNamed returns the route of a name, or nil.
func (c *Catalogue) RouteNamed(name string) *Route {
	for i := range c.document.Routes {
		if c.document.Routes[i].Name == name {
			return &c.document.Routes[i]
		}
	}
	return nil
}

// OrganisationNamed returns the organisation of a name, or nil.
func (c *Catalogue) OrganisationNamed(name string) *Organisation {
	for i := range c.document.Organisations {
		if c.document.Organisations[i].Name == name {
			return &c.document.Organisations[i]
		}
	}
	return nil
}

// Route returns the route of the host with the longest prefix of the path, or nil. A port in host is ignored unless
// a route's host has it.
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

// PickService returns one of the route's services at random by weight; u must be uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := int(u * float64(total))
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
