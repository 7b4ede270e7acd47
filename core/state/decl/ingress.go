package decl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service that receives a fraction of an ingress route's requests.
type WeightedService struct {
	service string
	weight  int
}

// Service returns the name of the service.
func (wsv WeightedService) Service() string { return wsv.service }

// Weight returns the weight of the service; its fraction of the requests is its weight divided by the sum of the weights.
func (wsv WeightedService) Weight() int { return wsv.weight }

// IngressRoute routes requests by their Host header and a path prefix, for callers that know no service names.
type IngressRoute struct {
	name             string
	host             string
	prefix           string
	class            *Class
	idempotent       bool
	public           bool
	maxAttempts      int
	timeout          time.Duration
	weightedServices []WeightedService
}

// Name returns the declared name.
func (ing *IngressRoute) Name() string { return ing.name }

// Class returns the class of requests that enter by this ingress route.
func (ing *IngressRoute) Class() *Class { return ing.class }

// Idempotent reports whether a request may run more than once.
func (ing *IngressRoute) Idempotent() bool { return ing.idempotent }

// Public reports whether the ingress route needs no key.
func (ing *IngressRoute) Public() bool { return ing.public }

// MaxAttempts returns to how many upstreams a request may be sent.
func (ing *IngressRoute) MaxAttempts() int { return ing.maxAttempts }

// Timeout returns the longest time from the arrival of a request to its answer.
func (ing *IngressRoute) Timeout() time.Duration { return ing.timeout }

// WeightedServices returns the services among which the ingress route's requests are split.
func (ing *IngressRoute) WeightedServices() []WeightedService { return ing.weightedServices }

// Limits bounds what callers may send and how long they may take; a zero value means that the limit is not declared.
type Limits struct {
	headerBytes   int
	bodyBytes     int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// HeaderBytes returns the size limit of a header block in bytes.
func (lim Limits) HeaderBytes() int { return lim.headerBytes }

// BodyBytes returns the size limit of a body in bytes.
func (lim Limits) BodyBytes() int { return lim.bodyBytes }

// HeaderTimeout returns the longest time that a caller may take to send the header block.
func (lim Limits) HeaderTimeout() time.Duration { return lim.headerTimeout }

// IdleTimeout returns the longest time that a connection may stay idle.
func (lim Limits) IdleTimeout() time.Duration { return lim.idleTimeout }

// IngressRoutes returns the ingress routes in ascending order of name.
func (dec *Declarations) IngressRoutes() []*IngressRoute { return dec.ingressRoutes }

// Limits returns the limits for callers.
func (dec *Declarations) Limits() Limits { return dec.limits }

// IngressRoute returns the ingress route for a Host header with the longest prefix of the path, or nil if none matches.
func (dec *Declarations) IngressRoute(host, path string) *IngressRoute {
	for _, ing := range dec.ingressByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, ing.prefix) {
			return ing
		}
	}
	return nil
}

// optionalList returns the items of a list, or nil if the field is missing.
func (doc *documentReader) optionalList(nod *jsonNode, name string) []*jsonNode {
	if nod.fields[name] == nil {
		return nil
	}
	return doc.listField(nod, name)
}

func (dec *Declarations) readIngressRoutes(doc *documentReader, root *jsonNode) {
	dec.ingressByHost = map[string][]*IngressRoute{}
	names, hostPrefixes := map[string]bool{}, map[string]bool{}
	for _, nod := range doc.optionalList(root, "entries") {
		first := len(doc.errs)
		ing := dec.readIngressRoute(doc, nod)
		doc.checkUnique(names, nod, ing.name)
		doc.checkUnique(hostPrefixes, nod, ing.host+ing.prefix)
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		names[ing.name], hostPrefixes[ing.host+ing.prefix] = true, true
		dec.ingressRoutes = append(dec.ingressRoutes, ing)
		dec.ingressByHost[ing.host] = append(dec.ingressByHost[ing.host], ing)
	}
	slices.SortFunc(dec.ingressRoutes, func(one, two *IngressRoute) int { return strings.Compare(one.name, two.name) })
	for _, list := range dec.ingressByHost {
		slices.SortFunc(list, func(one, two *IngressRoute) int { return cmp.Compare(len(two.prefix), len(one.prefix)) })
	}
}

func (dec *Declarations) readIngressRoute(doc *documentReader, nod *jsonNode) *IngressRoute {
	if !doc.checkFields(nod, "name", "host", "prefix", "class", "idempotent", "open", "attempts", "timeout", "services") {
		return &IngressRoute{}
	}
	ing := &IngressRoute{
		name: doc.stringField(nod, "name"), host: strings.ToLower(doc.stringField(nod, "host")), prefix: doc.stringField(nod, "prefix"),
		idempotent: doc.boolField(nod, "idempotent"), public: doc.boolField(nod, "open"), maxAttempts: doc.countField(nod, "attempts"),
		timeout: doc.durationField(nod, "timeout"),
	}
	if ing.prefix != "" && (!strings.HasPrefix(ing.prefix, "/") || !strings.HasSuffix(ing.prefix, "/")) {
		doc.addErrorAt(nod.fields["prefix"], fmt.Sprintf("is %q", ing.prefix), "start and end it with a slash")
	}
	if ing.maxAttempts < 1 && nod.fields["attempts"] != nil {
		doc.addErrorAt(nod.fields["attempts"], "allows no attempt", "allow at least 1")
	}
	name := doc.stringField(nod, "class")
	if ing.class = dec.Class(name); name != "" && ing.class == nil {
		doc.addErrorAt(nod.fields["class"], fmt.Sprintf("names the undeclared class %q", name), "declare it or use a declared class")
	}
	totalWeight := 0
	for _, item := range doc.listField(nod, "services") {
		if !doc.checkFields(item, "name", "weight") {
			continue
		}
		wsv := WeightedService{service: doc.stringField(item, "name"), weight: doc.countField(item, "weight")}
		if wsv.service != "" && dec.services[wsv.service] == nil {
			doc.addErrorAt(item.fields["name"], fmt.Sprintf("names the undeclared service %q", wsv.service), "declare it or use a declared service")
		}
		totalWeight += wsv.weight
		ing.weightedServices = append(ing.weightedServices, wsv)
	}
	if totalWeight == 0 && nod.fields["services"] != nil {
		doc.addErrorAt(nod.fields["services"], "has no service with a weight above zero", "give at least one service a weight above zero")
	}
	return ing
}

func (dec *Declarations) readLimits(doc *documentReader, root *jsonNode) {
	nod := root.fields["limits"]
	first := len(doc.errs)
	if nod == nil {
		return
	}
	if doc.checkFields(nod, "header_bytes", "body_bytes", "header_time", "idle_time") {
		dec.limits = Limits{
			headerBytes: doc.countField(nod, "header_bytes"), bodyBytes: doc.countField(nod, "body_bytes"),
			headerTimeout: doc.durationField(nod, "header_time"), idleTimeout: doc.durationField(nod, "idle_time"),
		}
	}
	if doc.ignoreInvalid(nod, first) {
		dec.limits = Limits{}
	}
}

// readUpstream reads what a service declares about its upstreams.
func (ser *Service) readUpstream(doc *documentReader, parent *jsonNode) {
	nod := parent.fields["upstream"]
	if nod == nil || !doc.checkFields(nod, "connections", "health", "cold") {
		return
	}
	ser.maxConnections = doc.countField(nod, "connections")
	if nod.fields["health"] != nil {
		ser.healthPath = doc.stringField(nod, "health")
	}
	if cold := nod.fields["cold"]; cold != nil && doc.checkFields(cold, "rate", "lasts") {
		ser.coldRate = doc.positiveField(cold, "rate")
		ser.coldDuration = doc.durationField(cold, "lasts")
	}
}
