package decl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service that gets a share of an ingress route's requests.
type WeightedService struct {
	service string
	weight  int
}

// Service returns the name of the service.
func (par WeightedService) Service() string { return par.service }

// Weight returns the share of the requests relative to the other weighted services.
func (par WeightedService) Weight() int { return par.weight }

// IngressRoute routes requests by their Host header and a path prefix. Callers of an ingress route know no service
// names.
type IngressRoute struct {
	name       string
	host       string
	prefix     string
	class      *Class
	idempotent bool
	open       bool
	attempts   int
	timeout    time.Duration
	parts      []WeightedService
}

// Name returns the declared name.
func (ent *IngressRoute) Name() string { return ent.name }

// Class returns the class of requests that enter here.
func (ent *IngressRoute) Class() *Class { return ent.class }

// Idempotent says whether a request may run more than once.
func (ent *IngressRoute) Idempotent() bool { return ent.idempotent }

// Public says whether the ingress route needs no key.
func (ent *IngressRoute) Public() bool { return ent.open }

// MaxAttempts returns to how many upstreams one request may be sent.
func (ent *IngressRoute) MaxAttempts() int { return ent.attempts }

// Timeout returns the longest time that a request may be kept waiting.
func (ent *IngressRoute) Timeout() time.Duration { return ent.timeout }

// WeightedServices returns the services that serve the ingress route.
func (ent *IngressRoute) WeightedServices() []WeightedService { return ent.parts }

// Limits bounds what a caller may send and how long it may take; a zero field is not declared.
type Limits struct {
	headerBytes int
	bodyBytes   int
	headerTime  time.Duration
	idleTime    time.Duration
}

// HeaderBytes returns the longest header block.
func (lim Limits) HeaderBytes() int { return lim.headerBytes }

// BodyBytes returns the longest body.
func (lim Limits) BodyBytes() int { return lim.bodyBytes }

// HeaderTimeout returns the longest time for the header block.
func (lim Limits) HeaderTimeout() time.Duration { return lim.headerTime }

// IdleTimeout returns the longest time that a connection may stay idle.
func (lim Limits) IdleTimeout() time.Duration { return lim.idleTime }

// IngressRoutes returns the ingress routes in ascending order of name.
func (dec *Declarations) IngressRoutes() []*IngressRoute { return dec.entries }

// Limits returns the bounds for callers.
func (dec *Declarations) Limits() Limits { return dec.limits }

// IngressRoute returns the ingress route of a Host header with the longest prefix that begins the path, or nil.
func (dec *Declarations) IngressRoute(host, path string) *IngressRoute {
	for _, ent := range dec.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, ent.prefix) {
			return ent
		}
	}
	return nil
}

// optional returns the items of a list that may be missing.
func (rea *reader) optional(nod *node, name string) []*node {
	if nod.fields[name] == nil {
		return nil
	}
	return rea.items(nod, name)
}

func (dec *Declarations) readEntries(rea *reader, root *node) {
	dec.byHost = map[string][]*IngressRoute{}
	names, places := map[string]bool{}, map[string]bool{}
	for _, nod := range rea.optional(root, "entries") {
		if !rea.known(nod, "name", "host", "prefix", "class", "idempotent", "open", "attempts", "timeout", "services") {
			continue
		}
		ent := dec.readEntry(rea, nod)
		rea.unique(names, nod, ent.name)
		rea.unique(places, nod, ent.host+ent.prefix)
		dec.entries = append(dec.entries, ent)
		dec.byHost[ent.host] = append(dec.byHost[ent.host], ent)
	}
	slices.SortFunc(dec.entries, func(one, two *IngressRoute) int { return strings.Compare(one.name, two.name) })
	for _, list := range dec.byHost {
		slices.SortFunc(list, func(one, two *IngressRoute) int { return cmp.Compare(len(two.prefix), len(one.prefix)) })
	}
}

func (dec *Declarations) readEntry(rea *reader, nod *node) *IngressRoute {
	ent := &IngressRoute{
		name: rea.text(nod, "name"), host: strings.ToLower(rea.text(nod, "host")), prefix: rea.text(nod, "prefix"),
		idempotent: rea.flag(nod, "idempotent"), open: rea.flag(nod, "open"), attempts: rea.count(nod, "attempts"),
		timeout: rea.duration(nod, "timeout"),
	}
	if ent.prefix != "" && (!strings.HasPrefix(ent.prefix, "/") || !strings.HasSuffix(ent.prefix, "/")) {
		rea.faultAt(nod.fields["prefix"], fmt.Sprintf("is %q", ent.prefix), "start and end it with a slash")
	}
	if ent.attempts < 1 && nod.fields["attempts"] != nil {
		rea.faultAt(nod.fields["attempts"], "allows no attempt", "allow at least 1")
	}
	name := rea.text(nod, "class")
	if ent.class = dec.Class(name); name != "" && ent.class == nil {
		rea.faultAt(nod.fields["class"], fmt.Sprintf("names the undeclared class %q", name), "declare it or use a declared class")
	}
	total := 0
	for _, item := range rea.items(nod, "services") {
		if !rea.known(item, "name", "weight") {
			continue
		}
		par := WeightedService{service: rea.text(item, "name"), weight: rea.count(item, "weight")}
		if par.service != "" && dec.services[par.service] == nil {
			rea.faultAt(item.fields["name"], fmt.Sprintf("names the undeclared service %q", par.service), "declare it or use a declared service")
		}
		total += par.weight
		ent.parts = append(ent.parts, par)
	}
	if total == 0 && nod.fields["services"] != nil {
		rea.faultAt(nod.fields["services"], "has no part with a weight", "give at least one service a weight above zero")
	}
	return ent
}

func (dec *Declarations) readLimits(rea *reader, root *node) {
	nod := root.fields["limits"]
	if nod == nil || !rea.known(nod, "header_bytes", "body_bytes", "header_time", "idle_time") {
		return
	}
	dec.limits = Limits{
		headerBytes: rea.count(nod, "header_bytes"), bodyBytes: rea.count(nod, "body_bytes"),
		headerTime: rea.duration(nod, "header_time"), idleTime: rea.duration(nod, "idle_time"),
	}
}

// readUpstream reads what a service declares of its upstreams.
func (ser *Service) readUpstream(rea *reader, parent *node) {
	nod := parent.fields["upstream"]
	if nod == nil || !rea.known(nod, "connections", "health", "cold") {
		return
	}
	ser.connections = rea.count(nod, "connections")
	ser.health = rea.text(nod, "health")
	if cold := nod.fields["cold"]; cold != nil && rea.known(cold, "rate", "lasts") {
		ser.coldRate = rea.positive(cold, "rate")
		ser.coldTime = rea.duration(cold, "lasts")
	}
}
