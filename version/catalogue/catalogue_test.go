package catalogue

import (
	"errors"
	"testing"
	"time"
)

func testDocument() Document {
	return Document{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "Shop.example", Prefix: "/", Timeout: time.Second, Services: []WeightedService{{"web", 1}}},
			{Name: "talk", Host: "shop.example", Prefix: "/talk/", Kind: Streaming, Timeout: time.Second, Services: []WeightedService{{"web", 0}, {"llm", 3}}},
			{Name: "deep", Host: "shop.example", Prefix: "/talk/deep/", Kind: Streaming, Resumable: true, Timeout: time.Second, Services: []WeightedService{{"web", 1}, {"llm", 3}}},
		},
		Services:      []Service{{Name: "web"}, {Name: "llm"}},
		Organisations: []Organisation{{Name: "one", Keys: []string{"a", "b"}}, {Name: "two", Keys: []string{"c"}}},
	}
}

func TestRoute(t *testing.T) {
	c, err := New(testDocument())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		host, path, want string
	}{
		{"shop.example", "/talk/x", "talk"},
		{"SHOP.example", "/talk/deep/x", "deep"},
		{"shop.example:8080", "/talk/deeper/x", "talk"},
		{"shop.example", "/talk", "all"},
		{"shop.example", "", ""},
		{"other.example", "/talk/x", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := c.Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestNewRejects(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Document)
		want   error
	}{
		{"unknown service", func(d *Document) { d.Routes[0].Services = []WeightedService{{"nobody", 1}} }, ErrUnknownService},
		{"duplicate route", func(d *Document) { d.Routes[1].Prefix = "/" }, ErrDuplicateRoute},
		{"no weight", func(d *Document) { d.Routes[1].Services = []WeightedService{{"web", 0}, {"llm", 0}} }, ErrInvalidWeight},
		{"negative weight", func(d *Document) { d.Routes[1].Services = []WeightedService{{"web", 2}, {"llm", -1}} }, ErrInvalidWeight},
		{"no service", func(d *Document) { d.Routes[1].Services = nil }, ErrInvalidWeight},
		{"no timeout", func(d *Document) { d.Routes[1].Timeout = 0 }, ErrNoTimeout},
		{"shared key", func(d *Document) { d.Organisations[1].Keys = []string{"b"} }, ErrDuplicateKey},
		{"prefix without slash", func(d *Document) { d.Routes[1].Prefix = "/talk" }, ErrInvalidPrefix},
	}
	for _, tt := range tests {
		d := testDocument()
		tt.change(&d)
		if _, err := New(d); !errors.Is(err, tt.want) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

func TestPickService(t *testing.T) {
	r := testDocument().Routes[2]
	tests := []struct {
		u    float64
		want string
	}{{0, "web"}, {0.24, "web"}, {0.25, "llm"}, {0.999, "llm"}}
	for _, tt := range tests {
		if got := r.PickService(tt.u); got != tt.want {
			t.Errorf("u %v: service %s, want %s", tt.u, got, tt.want)
		}
	}
}

func TestRetryable(t *testing.T) {
	tests := []struct {
		kind      RouteKind
		resumable bool
		want      bool
	}{{Idempotent, false, true}, {NonIdempotent, false, false}, {NonIdempotent, true, false}, {Streaming, false, false}, {Streaming, true, true}}
	for _, tt := range tests {
		r := Route{Kind: tt.kind, Resumable: tt.resumable}
		if got := r.Retryable(); got != tt.want {
			t.Errorf("kind %d, resumable %v: retryable %v", tt.kind, tt.resumable, got)
		}
	}
}
