package decl

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const maxRateGroups = 1024

// Class is a kind of work; its rank follows from its target.
type Class struct {
	name     string
	answered float64
	within   time.Duration
	priority *int
	rank     int
}

// Name returns the declared name.
func (cla *Class) Name() string { return cla.name }

// TargetRatio returns the target share of requests that are answered in time.
func (cla *Class) TargetRatio() float64 { return cla.answered }

// TargetLatency returns the target time for an answer; it is also the longest deadline of a request.
func (cla *Class) TargetLatency() time.Duration { return cla.within }

// Rank returns the place in the order of importance; 0 is the most important.
func (cla *Class) Rank() int { return cla.rank }

// Route is a method and path pattern of a service.
type Route struct {
	method     string
	pattern    string
	segments   []string
	class      *Class
	idempotent bool
	open       bool
}

// Method returns the HTTP method.
func (rou *Route) Method() string { return rou.method }

// Pattern returns the declared path pattern.
func (rou *Route) Pattern() string { return rou.pattern }

// Class returns the class of requests that enter by this route.
func (rou *Route) Class() *Class { return rou.class }

// Idempotent says whether a request may run more than once.
func (rou *Route) Idempotent() bool { return rou.idempotent }

// Public says whether the route needs no key.
func (rou *Route) Public() bool { return rou.open }

// Service is a named set of routes.
type Service struct {
	name        string
	routes      []*Route
	connections int
	health      string
	coldRate    float64
	coldTime    time.Duration
}

// Name returns the declared name.
func (ser *Service) Name() string { return ser.name }

// Routes returns the routes in match order.
func (ser *Service) Routes() []*Route { return ser.routes }

// MaxConnections returns how many connections an upstream of the service accepts, or 0 if that is not declared.
func (ser *Service) MaxConnections() int { return ser.connections }

// HealthPath returns the path of the service's health check, or "".
func (ser *Service) HealthPath() string { return ser.health }

// ColdRate returns how many requests a second a cold upstream of the service bears, or 0 if that is not declared.
func (ser *Service) ColdRate() float64 { return ser.coldRate }

// ColdTime returns how long an upstream of the service is cold after its start.
func (ser *Service) ColdTime() time.Duration { return ser.coldTime }

// Match returns the route for a method and a path without query, or nil.
func (ser *Service) Match(method, path string) *Route {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for _, rou := range ser.routes {
		if rou.method == method && rou.matches(parts) {
			return rou
		}
	}
	return nil
}

func (rou *Route) matches(parts []string) bool {
	for i, seg := range rou.segments {
		if strings.HasSuffix(seg, "...}") {
			return i <= len(parts)
		}
		if i >= len(parts) {
			return false
		}
		if !isWildcard(seg) && seg != parts[i] {
			return false
		}
		if isWildcard(seg) && parts[i] == "" {
			return false
		}
	}
	return len(parts) == len(rou.segments)
}

func isWildcard(seg string) bool {
	return strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}")
}

// Team is a group of callers with a rate and a burst that count across all hosts.
type Team struct {
	name      string
	rate      float64
	burst     float64
	unlimited bool
	priority  int
}

// Name returns the declared name.
func (tea *Team) Name() string { return tea.name }

// Rate returns the requests per second across all hosts.
func (tea *Team) Rate() float64 { return tea.rate }

// Burst returns the requests at once across all hosts.
func (tea *Team) Burst() float64 { return tea.burst }

// Unlimited says whether the team has no rate.
func (tea *Team) Unlimited() bool { return tea.unlimited }

// Priority returns the place of the team among teams that ask for the same class; 0, the default, goes first.
func (tea *Team) Priority() int { return tea.priority }

// Key is a credential of a team, known only by its digest.
type Key struct {
	id     string
	team   *Team
	digest [sha256.Size]byte
}

// ID returns the declared identifier, which is not secret.
func (key *Key) ID() string { return key.id }

// Team returns the team that the key proves.
func (key *Key) Team() *Team { return key.team }

// Domain is a failure domain.
type Domain struct {
	name       string
	region     string
	out        bool
	rateGroups int
}

// Name returns the declared name.
func (dom *Domain) Name() string { return dom.name }

// Region returns the region's name.
func (dom *Domain) Region() string { return dom.region }

// OutOfService says whether operators have taken the failure domain out.
func (dom *Domain) OutOfService() bool { return dom.out }

// RateGroups returns the number of groups that split the domain's part of each rate.
func (dom *Domain) RateGroups() int { return dom.rateGroups }

// Declarations is one checked version of what the operators declare; it does not change.
type Declarations struct {
	version  uint64
	classes  []*Class
	services map[string]*Service
	teams    map[string]*Team
	keys     map[[sha256.Size]byte]*Key
	keyIDs   map[string]*Key
	domains  map[string]*Domain
	names    []string
	entries  []*IngressRoute
	byHost   map[string][]*IngressRoute
	limits   Limits
}

// Version returns the published version.
func (dec *Declarations) Version() uint64 { return dec.version }

// Classes returns the classes, the most important first.
func (dec *Declarations) Classes() []*Class { return dec.classes }

// Class returns a class by name, or nil.
func (dec *Declarations) Class(name string) *Class {
	for _, cla := range dec.classes {
		if cla.name == name {
			return cla
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (dec *Declarations) Service(name string) *Service { return dec.services[name] }

// Team returns a team by name, or nil.
func (dec *Declarations) Team(name string) *Team { return dec.teams[name] }

// Teams returns all teams by name.
func (dec *Declarations) Teams() map[string]*Team { return dec.teams }

// KeyBySecret returns the key that a caller presented, or nil when it is unknown or revoked.
func (dec *Declarations) KeyBySecret(secret string) *Key {
	return dec.keys[sha256.Sum256([]byte(secret))]
}

// KeyByID returns a key that is not revoked by its identifier, or nil.
func (dec *Declarations) KeyByID(id string) *Key { return dec.keyIDs[id] }

// Keys returns the keys in ascending order of their identifiers.
func (dec *Declarations) Keys() []*Key {
	return slices.SortedFunc(maps.Values(dec.keyIDs), func(one, two *Key) int { return strings.Compare(one.id, two.id) })
}

// Domain returns a failure domain by name, or nil.
func (dec *Declarations) Domain(name string) *Domain { return dec.domains[name] }

// DomainNames returns the names of all failure domains in ascending order.
func (dec *Declarations) DomainNames() []string { return dec.names }

// Decode reads and checks declarations; the error joins one ValidationError for each fault.
func Decode(data []byte) (*Declarations, error) {
	rea, root, err := parse(data)
	if err != nil {
		return nil, err
	}
	dec := &Declarations{
		services: map[string]*Service{}, teams: map[string]*Team{}, domains: map[string]*Domain{},
		keys: map[[sha256.Size]byte]*Key{}, keyIDs: map[string]*Key{},
	}
	if rea.known(root, "version", "classes", "services", "teams", "keys", "domains", "entries", "limits") {
		dec.version = rea.version(root)
		dec.readClasses(rea, root)
		dec.readServices(rea, root)
		dec.readTeams(rea, root)
		dec.readKeys(rea, root)
		dec.readDomains(rea, root)
		dec.readEntries(rea, root)
		dec.readLimits(rea, root)
	}
	if len(rea.faults) > 0 {
		return nil, errors.Join(rea.faults...)
	}
	return dec, nil
}

func (dec *Declarations) readClasses(rea *reader, root *node) {
	seen := map[string]bool{}
	for _, nod := range rea.items(root, "classes") {
		if !rea.known(nod, "name", "target", "priority") {
			continue
		}
		cla := &Class{name: rea.text(nod, "name")}
		rea.unique(seen, nod, cla.name)
		target := rea.get(nod, "target")
		if target != nil && rea.known(target, "answered", "within") {
			cla.answered = rea.positive(target, "answered")
			if cla.answered >= 1 {
				rea.faultAt(target.fields["answered"], "is not below 1", "give a share of requests between 0 and 1 such as 0.999")
			}
			cla.within = rea.duration(target, "within")
		}
		if child := nod.fields["priority"]; child != nil {
			priority := rea.count(nod, "priority")
			cla.priority = &priority
		}
		dec.classes = append(dec.classes, cla)
	}
	slices.SortFunc(dec.classes, compareTargets)
	for i, cla := range dec.classes {
		cla.rank = i
		if cla.priority != nil {
			cla.rank = *cla.priority
		}
		if (cla.priority == nil) != (dec.classes[0].priority == nil) {
			rea.fault(root.line, "classes", "gives a priority to some classes only", "give one to all classes or to none")
			break
		}
	}
}

// compareTargets puts the stricter target first: it tolerates fewer unanswered requests, or less time. A priority
// that another system has numbered already goes before the target; classes of one priority share their rank.
func compareTargets(one, two *Class) int {
	switch {
	case one.priority != nil && two.priority != nil && *one.priority != *two.priority:
		return *one.priority - *two.priority
	case one.answered != two.answered && one.answered > two.answered:
		return -1
	case one.answered != two.answered:
		return 1
	case one.within != two.within && one.within < two.within:
		return -1
	case one.within != two.within:
		return 1
	}
	return strings.Compare(one.name, two.name)
}

func (dec *Declarations) readServices(rea *reader, root *node) {
	seen := map[string]bool{}
	for _, nod := range rea.items(root, "services") {
		if !rea.known(nod, "name", "routes", "upstream") {
			continue
		}
		ser := &Service{name: rea.text(nod, "name")}
		rea.unique(seen, nod, ser.name)
		if strings.Contains(ser.name, "/") {
			rea.faultAt(nod.fields["name"], "contains a slash", "use a name that fits in one path segment")
		}
		routes := map[string]bool{}
		for _, item := range rea.items(nod, "routes") {
			if rou := dec.readRoute(rea, item); rou != nil {
				rea.unique(routes, item, rou.method+" "+shape(rou.segments))
				ser.routes = append(ser.routes, rou)
			}
		}
		slices.SortStableFunc(ser.routes, compareRoutes)
		ser.readUpstream(rea, nod)
		dec.services[ser.name] = ser
	}
}

// shape replaces wildcard names, so that two patterns that match the same paths compare equal.
func shape(segments []string) string {
	out := slices.Clone(segments)
	for i, seg := range out {
		switch {
		case strings.HasSuffix(seg, "...}"):
			out[i] = "{...}"
		case isWildcard(seg):
			out[i] = "{}"
		}
	}
	return strings.Join(out, "/")
}

// compareRoutes puts literal segments before wildcards, so that the more specific route matches first.
func compareRoutes(one, two *Route) int {
	for i := range min(len(one.segments), len(two.segments)) {
		if diff := segmentKind(one.segments[i]) - segmentKind(two.segments[i]); diff != 0 {
			return diff
		}
	}
	return len(two.segments) - len(one.segments)
}

func segmentKind(seg string) int {
	switch {
	case strings.HasSuffix(seg, "...}"):
		return 2
	case isWildcard(seg):
		return 1
	}
	return 0
}

func (dec *Declarations) readRoute(rea *reader, nod *node) *Route {
	if !rea.known(nod, "method", "path", "class", "idempotent", "open") {
		return nil
	}
	rou := &Route{
		method: rea.choice(nod, "method", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
			http.MethodPatch, http.MethodDelete, http.MethodOptions),
		pattern:    rea.text(nod, "path"),
		idempotent: rea.flag(nod, "idempotent"),
		open:       rea.flag(nod, "open"),
	}
	if rou.pattern != "" && !strings.HasPrefix(rou.pattern, "/") {
		rea.faultAt(nod.fields["path"], "does not start with a slash", "start it with /")
	}
	rou.segments = strings.Split(strings.TrimPrefix(rou.pattern, "/"), "/")
	for i, seg := range rou.segments {
		if strings.HasSuffix(seg, "...}") && i != len(rou.segments)-1 {
			rea.faultAt(nod.fields["path"], "has segments after a {name...} wildcard", "put {name...} last")
		}
	}
	name := rea.text(nod, "class")
	rou.class = dec.Class(name)
	if name != "" && rou.class == nil {
		rea.faultAt(nod.fields["class"], fmt.Sprintf("names the undeclared class %q", name), "declare it or use a declared class")
	}
	return rou
}

func (dec *Declarations) readTeams(rea *reader, root *node) {
	seen := map[string]bool{}
	for _, nod := range rea.items(root, "teams") {
		if !rea.known(nod, "name", "rate", "burst", "unlimited", "priority") {
			continue
		}
		tea := &Team{name: rea.text(nod, "name"), unlimited: rea.flag(nod, "unlimited")}
		if !tea.unlimited {
			tea.rate, tea.burst = rea.positive(nod, "rate"), rea.positive(nod, "burst")
		}
		if nod.fields["priority"] != nil {
			tea.priority = rea.count(nod, "priority")
		}
		rea.unique(seen, nod, tea.name)
		if child := nod.fields["burst"]; child != nil && tea.burst < 1 {
			rea.faultAt(child, "is below 1", "allow at least one request at once")
		}
		dec.teams[tea.name] = tea
	}
}

func (dec *Declarations) readKeys(rea *reader, root *node) {
	seen := map[string]bool{}
	for _, nod := range rea.items(root, "keys") {
		if !rea.known(nod, "id", "team", "sha256") {
			continue
		}
		key := &Key{id: rea.text(nod, "id")}
		rea.unique(seen, nod, key.id)
		name := rea.text(nod, "team")
		key.team = dec.teams[name]
		if name != "" && key.team == nil {
			rea.faultAt(nod.fields["team"], fmt.Sprintf("names the undeclared team %q", name), "declare it or use a declared team")
		}
		digest := rea.text(nod, "sha256")
		raw, err := hex.DecodeString(digest)
		if digest != "" && (err != nil || len(raw) != sha256.Size) {
			rea.faultAt(nod.fields["sha256"], "is not a SHA-256 digest", "give 64 hexadecimal digits")
			continue
		}
		copy(key.digest[:], raw)
		if dec.keys[key.digest] != nil {
			rea.faultAt(nod.fields["sha256"], "repeats the digest of another key", "issue a new key")
		}
		dec.keys[key.digest] = key
		dec.keyIDs[key.id] = key
	}
}

func (dec *Declarations) readDomains(rea *reader, root *node) {
	seen := map[string]bool{}
	for _, nod := range rea.items(root, "domains") {
		if !rea.known(nod, "name", "region", "state", "rate_groups") {
			continue
		}
		dom := &Domain{
			name: rea.text(nod, "name"), region: rea.text(nod, "region"),
			out: rea.choice(nod, "state", "in", "out") == "out", rateGroups: 1,
		}
		rea.unique(seen, nod, dom.name)
		if child := nod.fields["rate_groups"]; child != nil {
			val := rea.number(nod, "rate_groups")
			dom.rateGroups = int(val)
			if val < 1 || val > maxRateGroups || val != float64(int(val)) {
				rea.faultAt(child, "is not a number of groups", fmt.Sprintf("give a whole number from 1 to %d", maxRateGroups))
			}
		}
		dec.domains[dom.name] = dom
		dec.names = append(dec.names, dom.name)
	}
	slices.Sort(dec.names)
}
