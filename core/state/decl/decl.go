package decl

import (
	"cmp"
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

const maxRateGroups = 1024 // of one failure domain

// Class is a class of requests with a common target; its rank follows from its priority or, without one, its target.
type Class struct {
	name          string
	targetRatio   float64
	targetLatency time.Duration
	priority      *int
	rank          int
}

// Name returns the declared name.
func (cla *Class) Name() string { return cla.name }

// TargetRatio returns the fraction of requests, below 1, that are to be answered within TargetLatency.
func (cla *Class) TargetRatio() float64 { return cla.targetRatio }

// TargetLatency returns the target time for an answer; it is also the longest time that a request's deadline may allow.
func (cla *Class) TargetLatency() time.Duration { return cla.targetLatency }

// Rank returns the position in the order of importance, from 0, the most important; classes with the same declared
// priority share it.
func (cla *Class) Rank() int { return cla.rank }

// Route declares the requests of a service with one method and path pattern.
type Route struct {
	method     string
	pattern    string
	segments   []string
	class      *Class
	idempotent bool
	public     bool
}

// Method returns the HTTP method.
func (rou *Route) Method() string { return rou.method }

// Pattern returns the declared path pattern.
func (rou *Route) Pattern() string { return rou.pattern }

// Class returns the class of requests that enter by this route.
func (rou *Route) Class() *Class { return rou.class }

// Idempotent reports whether a request may run more than once.
func (rou *Route) Idempotent() bool { return rou.idempotent }

// Public reports whether the route needs no key.
func (rou *Route) Public() bool { return rou.public }

// Service is a named set of routes.
type Service struct {
	name           string
	routes         []*Route
	maxConnections int
	healthPath     string
	coldRate       float64
	coldDuration   time.Duration
}

// Name returns the declared name.
func (ser *Service) Name() string { return ser.name }

// Routes returns the routes in match order.
func (ser *Service) Routes() []*Route { return ser.routes }

// MaxConnections returns how many connections an upstream of the service accepts, or 0 if not declared.
func (ser *Service) MaxConnections() int { return ser.maxConnections }

// HealthPath returns the path of the service's health check, or "" if not declared.
func (ser *Service) HealthPath() string { return ser.healthPath }

// ColdRate returns how many requests per second an upstream of the service can serve while cold, that is just after its
// start, or 0 if not declared.
func (ser *Service) ColdRate() float64 { return ser.coldRate }

// ColdDuration returns how long an upstream of the service is cold after its start, or 0 if not declared.
func (ser *Service) ColdDuration() time.Duration { return ser.coldDuration }

// Match returns the route for a method and a path without query, or nil if none matches.
func (ser *Service) Match(method, path string) *Route {
	pathSegments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for _, rou := range ser.routes {
		if rou.method == method && rou.matches(pathSegments) {
			return rou
		}
	}
	return nil
}

func (rou *Route) matches(pathSegments []string) bool {
	for i, seg := range rou.segments {
		if strings.HasSuffix(seg, "...}") {
			return i <= len(pathSegments)
		}
		if i >= len(pathSegments) {
			return false
		}
		if !isWildcard(seg) && seg != pathSegments[i] {
			return false
		}
		if isWildcard(seg) && pathSegments[i] == "" {
			return false
		}
	}
	return len(pathSegments) == len(rou.segments)
}

func isWildcard(seg string) bool {
	return strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}")
}

// Team is a group of callers with a rate and a burst that apply to their requests at all hosts together.
type Team struct {
	name      string
	rate      float64
	burst     float64
	unlimited bool
	priority  int
}

// Name returns the declared name.
func (tea *Team) Name() string { return tea.name }

// Rate returns the permitted requests per second at all hosts together.
func (tea *Team) Rate() float64 { return tea.rate }

// Burst returns the permitted requests at once at all hosts together.
func (tea *Team) Burst() float64 { return tea.burst }

// Unlimited reports whether the team has no rate limit.
func (tea *Team) Unlimited() bool { return tea.unlimited }

// Priority returns the team's position among teams whose requests have the same class; 0, the default, is served first.
func (tea *Team) Priority() int { return tea.priority }

// Key is an API key of a team; only its SHA-256 digest is known.
type Key struct {
	id     string
	team   *Team
	digest [sha256.Size]byte
}

// ID returns the declared identifier, which is not secret.
func (key *Key) ID() string { return key.id }

// Team returns the team that the key authenticates.
func (key *Key) Team() *Team { return key.team }

// Domain is a failure domain.
type Domain struct {
	name         string
	region       string
	outOfService bool
	rateGroups   int
}

// Name returns the declared name.
func (dom *Domain) Name() string { return dom.name }

// Region returns the region's name.
func (dom *Domain) Region() string { return dom.region }

// OutOfService reports whether operators have taken the failure domain out of service.
func (dom *Domain) OutOfService() bool { return dom.outOfService }

// RateGroups returns the number of groups of hosts among which the failure domain's part of each team's rate is divided.
func (dom *Domain) RateGroups() int { return dom.rateGroups }

// Declarations is one valid version of the operators' declarations; it is immutable.
type Declarations struct {
	version         uint64
	operatorVersion uint64
	settling        bool
	classes         []*Class
	classesByName   map[string]*Class
	services        map[string]*Service
	teams           map[string]*Team
	keysByDigest    map[[sha256.Size]byte]*Key
	keysByID        map[string]*Key
	domains         map[string]*Domain
	domainNames     []string
	ingressRoutes   []*IngressRoute
	ingressByHost   map[string][]*IngressRoute
	limits          Limits
	ignored         []*IgnoredItem
}

// Ignored returns the items of the document that are not declared because they are invalid.
func (dec *Declarations) Ignored() []*IgnoredItem { return dec.ignored }

// Version returns the published version.
func (dec *Declarations) Version() uint64 { return dec.version }

// OperatorVersion returns the version that the operators gave to the content, or 0 if the document gives none.
func (dec *Declarations) OperatorVersion() uint64 { return dec.operatorVersion }

// ContentVersion returns the number that orders contents: OperatorVersion or, without one, Version. A configuration service
// that was restored from a copy publishes an older content under a higher Version.
func (dec *Declarations) ContentVersion() uint64 { return cmp.Or(dec.operatorVersion, dec.version) }

// Settling reports whether the document was read while the configuration service may still lack recent changes of failure
// domains.
func (dec *Declarations) Settling() bool { return dec.settling }

// KeepOutOfService returns the declarations with all failure domains out of service that are so in others.
func (dec *Declarations) KeepOutOfService(other *Declarations) *Declarations {
	kept := *dec
	kept.domains = maps.Clone(dec.domains)
	for name, dom := range kept.domains {
		if old := other.Domain(name); old != nil && old.outOfService && !dom.outOfService {
			out := *dom
			out.outOfService = true
			kept.domains[name] = &out
		}
	}
	return &kept
}

// Classes returns the classes in ascending order of rank, the most important first.
func (dec *Declarations) Classes() []*Class { return dec.classes }

// Class returns a class by name, or nil if it is not declared.
func (dec *Declarations) Class(name string) *Class { return dec.classesByName[name] }

// Service returns a service by name, or nil if it is not declared.
func (dec *Declarations) Service(name string) *Service { return dec.services[name] }

// DeclaresColdRate reports whether a service declares the rate of its cold upstreams.
func (dec *Declarations) DeclaresColdRate() bool {
	for _, ser := range dec.services {
		if ser.coldRate > 0 {
			return true
		}
	}
	return false
}

// Team returns a team by name, or nil if it is not declared.
func (dec *Declarations) Team(name string) *Team { return dec.teams[name] }

// Teams returns all teams, keyed by name.
func (dec *Declarations) Teams() map[string]*Team { return dec.teams }

// KeyBySecret returns the key for the secret that a caller sent, or nil if it is unknown or revoked.
func (dec *Declarations) KeyBySecret(secret string) *Key {
	return dec.keysByDigest[sha256.Sum256([]byte(secret))]
}

// KeyByID returns a key by its identifier, or nil if it is unknown or revoked.
func (dec *Declarations) KeyByID(id string) *Key { return dec.keysByID[id] }

// Keys returns the keys in ascending order of their identifiers.
func (dec *Declarations) Keys() []*Key {
	return slices.SortedFunc(maps.Values(dec.keysByID), func(one, two *Key) int { return strings.Compare(one.id, two.id) })
}

// Domain returns a failure domain by name, or nil if it is not declared.
func (dec *Declarations) Domain(name string) *Domain { return dec.domains[name] }

// DomainNames returns the names of all failure domains in ascending order.
func (dec *Declarations) DomainNames() []string { return dec.domainNames }

// Decode decodes and validates declarations; the error joins one ValidationError for each error in the document.
func Decode(data []byte) (*Declarations, error) { return decode(data, false) }

// DecodeTolerant decodes declarations without their invalid items, and without those that refer to one. A node takes such
// a document: without it, the changes of the other items would not come into force, and a node that starts would have none.
func DecodeTolerant(data []byte) (*Declarations, error) { return decode(data, true) }

func decode(data []byte, tolerant bool) (*Declarations, error) {
	doc, root, err := parse(data, tolerant)
	if err != nil {
		return nil, err
	}
	dec := &Declarations{
		classesByName: map[string]*Class{}, services: map[string]*Service{}, teams: map[string]*Team{}, domains: map[string]*Domain{},
		keysByDigest: map[[sha256.Size]byte]*Key{}, keysByID: map[string]*Key{},
	}
	if doc.checkFields(root, "version", "operator_version", "settling", "classes", "services", "teams", "keys", "domains", "entries", "limits") {
		dec.version = doc.versionField(root, "version")
		if root.fields["operator_version"] != nil {
			dec.operatorVersion = doc.versionField(root, "operator_version")
		}
		dec.settling = doc.boolField(root, "settling")
		dec.readClasses(doc, root)
		dec.readServices(doc, root)
		dec.readTeams(doc, root)
		dec.readKeys(doc, root)
		dec.readDomains(doc, root)
		dec.readIngressRoutes(doc, root)
		dec.readLimits(doc, root)
	}
	if len(doc.errs) > 0 {
		return nil, errors.Join(doc.errs...)
	}
	dec.ignored = doc.ignored
	return dec, nil
}

func (dec *Declarations) readClasses(doc *documentReader, root *jsonNode) {
	seen := map[string]bool{}
	nodes := doc.listField(root, "classes")
	havePriorities := slices.ContainsFunc(nodes, func(nod *jsonNode) bool { return nod.fields["priority"] != nil })
	lackPriorities := slices.ContainsFunc(nodes, func(nod *jsonNode) bool { return nod.fields["priority"] == nil })
	if havePriorities && lackPriorities && !doc.tolerant {
		doc.addError(root.line, "classes", "gives a priority to some classes only", "give one to all classes or to none")
	}
	for _, nod := range nodes {
		first := len(doc.errs)
		cla := readClass(doc, nod)
		doc.checkUnique(seen, nod, cla.name)
		if havePriorities && cla.priority == nil && doc.tolerant {
			doc.addErrorAt(nod, "has no priority although other classes have one", "give one to all classes or to none")
		}
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		seen[cla.name] = true
		dec.classes = append(dec.classes, cla)
		dec.classesByName[cla.name] = cla
	}
	slices.SortFunc(dec.classes, compareTargets)
	for i, cla := range dec.classes {
		cla.rank = i
		if cla.priority != nil {
			cla.rank = *cla.priority
		}
	}
}

func readClass(doc *documentReader, nod *jsonNode) *Class {
	if !doc.checkFields(nod, "name", "target", "priority") {
		return &Class{}
	}
	cla := &Class{name: doc.stringField(nod, "name")}
	target := doc.requiredField(nod, "target")
	if target != nil && doc.checkFields(target, "answered", "within") {
		cla.targetRatio = doc.positiveField(target, "answered")
		if cla.targetRatio >= 1 {
			doc.addErrorAt(target.fields["answered"], "is not below 1", "give a fraction of requests between 0 and 1, such as 0.999")
		}
		cla.targetLatency = doc.durationField(target, "within")
	}
	if nod.fields["priority"] != nil {
		priority := doc.countField(nod, "priority")
		cla.priority = &priority
	}
	return cla
}

// compareTargets puts the lower priority number first. Without priorities, or between equal ones, it puts the stricter
// target first: the higher ratio of answered requests or, at equal ratios, the lower latency. Priorities let operators
// keep the numbers of another system; classes with the same priority share a rank.
func compareTargets(one, two *Class) int {
	switch {
	case one.priority != nil && two.priority != nil && *one.priority != *two.priority:
		return *one.priority - *two.priority
	case one.targetRatio != two.targetRatio && one.targetRatio > two.targetRatio:
		return -1
	case one.targetRatio != two.targetRatio:
		return 1
	case one.targetLatency != two.targetLatency && one.targetLatency < two.targetLatency:
		return -1
	case one.targetLatency != two.targetLatency:
		return 1
	}
	return strings.Compare(one.name, two.name)
}

func (dec *Declarations) readServices(doc *documentReader, root *jsonNode) {
	seen := map[string]bool{}
	for _, nod := range doc.listField(root, "services") {
		first := len(doc.errs)
		ser := dec.readService(doc, nod)
		doc.checkUnique(seen, nod, ser.name)
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		seen[ser.name] = true
		dec.services[ser.name] = ser
	}
}

func (dec *Declarations) readService(doc *documentReader, nod *jsonNode) *Service {
	if !doc.checkFields(nod, "name", "routes", "upstream") {
		return &Service{}
	}
	ser := &Service{name: doc.stringField(nod, "name")}
	if strings.Contains(ser.name, "/") {
		doc.addErrorAt(nod.fields["name"], "contains a slash", "use a name that fits in one path segment")
	}
	routes := map[string]bool{}
	for _, item := range doc.listField(nod, "routes") {
		first := len(doc.errs)
		rou := dec.readRoute(doc, item)
		name := rou.method + " " + normalizePattern(rou.segments)
		doc.checkUnique(routes, item, name)
		if doc.ignoreInvalid(item, first) {
			continue
		}
		routes[name] = true
		ser.routes = append(ser.routes, rou)
	}
	slices.SortStableFunc(ser.routes, compareRoutes)
	ser.readUpstream(doc, nod)
	return ser
}

// normalizePattern drops the names of wildcards, so that two patterns that match the same paths compare equal.
func normalizePattern(segments []string) string {
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

func (dec *Declarations) readRoute(doc *documentReader, nod *jsonNode) *Route {
	if !doc.checkFields(nod, "method", "path", "class", "idempotent", "open") {
		return &Route{}
	}
	rou := &Route{
		method: doc.enumField(nod, "method", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
			http.MethodPatch, http.MethodDelete, http.MethodOptions),
		pattern:    doc.stringField(nod, "path"),
		idempotent: doc.boolField(nod, "idempotent"),
		public:     doc.boolField(nod, "open"),
	}
	if rou.pattern != "" && !strings.HasPrefix(rou.pattern, "/") {
		doc.addErrorAt(nod.fields["path"], "does not start with a slash", "start it with /")
	}
	rou.segments = strings.Split(strings.TrimPrefix(rou.pattern, "/"), "/")
	for i, seg := range rou.segments {
		if strings.HasSuffix(seg, "...}") && i != len(rou.segments)-1 {
			doc.addErrorAt(nod.fields["path"], "has segments after a {name...} wildcard", "put {name...} last")
		}
	}
	name := doc.stringField(nod, "class")
	rou.class = dec.Class(name)
	if name != "" && rou.class == nil {
		doc.addErrorAt(nod.fields["class"], fmt.Sprintf("names the undeclared class %q", name), "declare it or use a declared class")
	}
	return rou
}

func (dec *Declarations) readTeams(doc *documentReader, root *jsonNode) {
	seen := map[string]bool{}
	for _, nod := range doc.listField(root, "teams") {
		first := len(doc.errs)
		tea := readTeam(doc, nod)
		doc.checkUnique(seen, nod, tea.name)
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		seen[tea.name] = true
		dec.teams[tea.name] = tea
	}
}

func readTeam(doc *documentReader, nod *jsonNode) *Team {
	if !doc.checkFields(nod, "name", "rate", "burst", "unlimited", "priority") {
		return &Team{}
	}
	tea := &Team{name: doc.stringField(nod, "name"), unlimited: doc.boolField(nod, "unlimited")}
	if !tea.unlimited {
		tea.rate, tea.burst = doc.positiveField(nod, "rate"), doc.positiveField(nod, "burst")
	}
	if nod.fields["priority"] != nil {
		tea.priority = doc.countField(nod, "priority")
	}
	if child := nod.fields["burst"]; child != nil && tea.burst < 1 {
		doc.addErrorAt(child, "is below 1", "allow a burst of at least 1 request")
	}
	return tea
}

func (dec *Declarations) readKeys(doc *documentReader, root *jsonNode) {
	seen := map[string]bool{}
	for _, nod := range doc.listField(root, "keys") {
		first := len(doc.errs)
		key := dec.readKey(doc, nod)
		doc.checkUnique(seen, nod, key.id)
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		seen[key.id] = true
		dec.keysByDigest[key.digest] = key
		dec.keysByID[key.id] = key
	}
}

func (dec *Declarations) readKey(doc *documentReader, nod *jsonNode) *Key {
	if !doc.checkFields(nod, "id", "team", "sha256") {
		return &Key{}
	}
	key := &Key{id: doc.stringField(nod, "id")}
	name := doc.stringField(nod, "team")
	key.team = dec.teams[name]
	if name != "" && key.team == nil {
		doc.addErrorAt(nod.fields["team"], fmt.Sprintf("names the undeclared team %q", name), "declare it or use a declared team")
	}
	digest := doc.stringField(nod, "sha256")
	raw, err := hex.DecodeString(digest)
	switch {
	case digest == "":
	case err != nil || len(raw) != sha256.Size:
		doc.addErrorAt(nod.fields["sha256"], "is not a SHA-256 digest", "give 64 hexadecimal digits")
	default:
		copy(key.digest[:], raw)
		if dec.keysByDigest[key.digest] != nil {
			doc.addErrorAt(nod.fields["sha256"], "repeats the digest of another key", "issue a new key")
		}
	}
	return key
}

func (dec *Declarations) readDomains(doc *documentReader, root *jsonNode) {
	seen := map[string]bool{}
	for _, nod := range doc.listField(root, "domains") {
		first := len(doc.errs)
		dom := readDomain(doc, nod)
		doc.checkUnique(seen, nod, dom.name)
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		seen[dom.name] = true
		dec.domains[dom.name] = dom
		dec.domainNames = append(dec.domainNames, dom.name)
	}
	slices.Sort(dec.domainNames)
}

func readDomain(doc *documentReader, nod *jsonNode) *Domain {
	if !doc.checkFields(nod, "name", "region", "state", "rate_groups") {
		return &Domain{}
	}
	dom := &Domain{
		name: doc.stringField(nod, "name"), region: doc.stringField(nod, "region"),
		outOfService: doc.enumField(nod, "state", "in", "out") == "out", rateGroups: 1,
	}
	if child := nod.fields["rate_groups"]; child != nil {
		val := doc.numberField(nod, "rate_groups")
		dom.rateGroups = int(val)
		if val < 1 || val > maxRateGroups || val != float64(int(val)) {
			doc.addErrorAt(child, "is not a valid number of rate groups", fmt.Sprintf("give a whole number from 1 to %d", maxRateGroups))
		}
	}
	return dom
}
