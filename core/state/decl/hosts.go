package decl

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Host is one host on the published host list.
type Host struct {
	id       string
	domain   string
	service  string
	peerAddr string
	leaving  bool

	instance      string
	slots         int
	coldRemaining time.Duration
	coldVersion   uint64
}

// ID returns the host's name.
func (hos *Host) ID() string { return hos.id }

// Domain returns the name of the host's failure domain.
func (hos *Host) Domain() string { return hos.domain }

// Service returns the service of the host's upstream.
func (hos *Host) Service() string { return hos.service }

// PeerAddr returns the address of the node's peer port.
func (hos *Host) PeerAddr() string { return hos.peerAddr }

// Leaving reports whether the host has the state "leaving" on the list.
func (hos *Host) Leaving() bool { return hos.leaving }

// Instance returns the identifier of the upstream's running instance, which changes with each start, or "" if the list
// does not give one.
func (hos *Host) Instance() string { return hos.instance }

// Slots returns how many requests the upstream runs at once, or 0 if the list does not give a number.
func (hos *Host) Slots() int { return hos.slots }

// ColdRemaining returns how much longer the upstream was going to be cold when it was found cold (see ColdVersion).
func (hos *Host) ColdRemaining() time.Duration { return hos.coldRemaining }

// ColdVersion returns the version of the list at which the upstream was found cold, or 0. A later version of the list
// with the same value repeats the same observation.
func (hos *Host) ColdVersion() uint64 { return hos.coldVersion }

// Hosts is one valid version of the host list; it is immutable.
type Hosts struct {
	version   uint64
	settling  bool
	all       []*Host
	byID      map[string]*Host
	byService map[string][]*Host
	byDomain  map[string][]*Host
	entries   []*Host         // all valid entries of the document, in its order; a host may have one for each service
	listed    map[string]bool // IDs in entries
	ignored   []*IgnoredItem
}

// Lists reports whether the document has a valid entry for a host, also one that is not used.
func (hos *Hosts) Lists(id string) bool { return hos.listed[id] }

// Ignored returns the hosts in the document that are not in the list because they are invalid or not used.
func (hos *Hosts) Ignored() []*IgnoredItem { return hos.ignored }

// Version returns the published version.
func (hos *Hosts) Version() uint64 { return hos.version }

// Settling reports whether the list was read while running hosts may still be missing from it.
func (hos *Hosts) Settling() bool { return hos.settling }

// All returns every host in ascending order of ID.
func (hos *Hosts) All() []*Host { return hos.all }

// Host returns a host by ID, or nil if it is not on the list.
func (hos *Hosts) Host(id string) *Host { return hos.byID[id] }

// OfService returns the hosts of a service in ascending order of ID.
func (hos *Hosts) OfService(name string) []*Host { return hos.byService[name] }

// OfDomain returns the hosts of a failure domain in ascending order of ID.
func (hos *Hosts) OfDomain(name string) []*Host { return hos.byDomain[name] }

// RateGroup returns the rate group of a host, from 0 to groups-1, in a failure domain with that many rate groups.
func RateGroup(host string, groups int) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	return int(mixBits(hash.Sum64()) % uint64(max(groups, 1)))
}

// RendezvousScore returns the rendezvous hashing score of a host for a key; the highest score wins.
func RendezvousScore(key, host string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(host))
	return mixBits(hash.Sum64())
}

// mixBits applies the 64-bit finalizer of MurmurHash3 to an FNV hash, whose high bits vary little between short names that
// end alike.
func mixBits(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

// RendezvousFirst returns the first host ID of RendezvousOrder, or "" if hosts is empty.
func RendezvousFirst(key string, hosts []string) string {
	best, bestScore := "", uint64(0)
	for _, host := range hosts {
		score := RendezvousScore(key, host)
		if best == "" || score > bestScore || score == bestScore && host < best {
			best, bestScore = host, score
		}
	}
	return best
}

// RendezvousOrder returns the host IDs in descending order of their rendezvous scores for a key, and equal scores in
// ascending order of ID.
func RendezvousOrder(key string, hosts []string) []string {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(one, two string) int {
		scoreOne, scoreTwo := RendezvousScore(key, one), RendezvousScore(key, two)
		switch {
		case scoreOne > scoreTwo:
			return -1
		case scoreOne < scoreTwo:
			return 1
		}
		return strings.Compare(one, two)
	})
	return out
}

// DecodeHosts decodes and validates a host list; the error joins one ValidationError for each error in the document.
func DecodeHosts(data []byte) (*Hosts, error) { return decodeHosts(data, false) }

// DecodeHostsTolerant decodes a host list without its invalid hosts. Each host is written by another process, so one that
// is wrong must not keep the others from coming into force. A list of which no host is valid is an error.
func DecodeHostsTolerant(data []byte) (*Hosts, error) { return decodeHosts(data, true) }

func decodeHosts(data []byte, tolerant bool) (*Hosts, error) {
	doc, root, err := parse(data, tolerant)
	if err != nil {
		return nil, err
	}
	list := &Hosts{listed: map[string]bool{}}
	if doc.checkFields(root, "version", "settling", "hosts") {
		list.version = doc.versionField(root, "version")
		list.settling = doc.boolField(root, "settling")
		list.readHosts(doc, root)
	}
	if len(doc.errs) > 0 {
		return nil, errors.Join(doc.errs...)
	}
	list.ignored = doc.ignored
	list.index(list.entries)
	return list, nil
}

func (hos *Hosts) readHosts(doc *documentReader, root *jsonNode) {
	names, addrs := map[string]bool{}, map[string]string{}
	nodes := doc.listField(root, "hosts")
	for _, nod := range nodes {
		first := len(doc.errs)
		item := readHost(doc, nod)
		name := item.id
		if doc.tolerant {
			name += " " + item.service
		}
		doc.checkUnique(names, nod, name)
		if id, ok := addrs[item.peerAddr]; ok && (id != item.id || !doc.tolerant) {
			doc.addErrorAt(nod, fmt.Sprintf("repeats %q", item.peerAddr), "remove or rename one")
		}
		if doc.ignoreInvalid(nod, first) {
			continue
		}
		names[name], addrs[item.peerAddr], hos.listed[item.id] = true, item.id, true
		hos.entries = append(hos.entries, item)
	}
	if len(nodes) > 0 && len(hos.entries) == 0 {
		doc.addErrorAt(root.fields["hosts"], "has no valid host", "correct the hosts: "+doc.ignored[0].Reason())
	}
}

// index puts the first entry of each host in the list.
func (hos *Hosts) index(entries []*Host) {
	hos.all, hos.byID, hos.byService, hos.byDomain = nil, map[string]*Host{}, map[string][]*Host{}, map[string][]*Host{}
	for _, item := range entries {
		if hos.byID[item.id] == nil {
			hos.byID[item.id] = item
			hos.all = append(hos.all, item)
		}
	}
	slices.SortFunc(hos.all, func(one, two *Host) int { return strings.Compare(one.id, two.id) })
	for _, item := range hos.all {
		hos.byService[item.service] = append(hos.byService[item.service], item)
		hos.byDomain[item.domain] = append(hos.byDomain[item.domain], item)
	}
}

// OfDeclaredServices returns the list without the entries of services that are not declared. Other programs may register
// themselves where the upstreams do, also on hosts of upstreams.
func (hos *Hosts) OfDeclaredServices(dec *Declarations) *Hosts {
	declared := slices.DeleteFunc(slices.Clone(hos.entries), func(item *Host) bool { return dec.Service(item.service) == nil })
	if len(declared) == len(hos.entries) {
		return hos
	}
	used := *hos
	used.index(declared)
	used.ignored = slices.Clone(hos.ignored)
	for _, item := range hos.entries {
		if dec.Service(item.service) == nil {
			used.ignored = append(used.ignored, &IgnoredItem{
				list: "hosts", name: item.id + " " + item.service, cause: fmt.Errorf("names the undeclared service %q", item.service),
			})
		}
	}
	return &used
}

func readHost(doc *documentReader, nod *jsonNode) *Host {
	if !doc.checkFields(nod, "id", "domain", "service", "peer", "state", "instance", "slots", "cold", "cold_at") {
		return &Host{}
	}
	item := &Host{
		id: doc.stringField(nod, "id"), domain: doc.stringField(nod, "domain"), service: doc.stringField(nod, "service"),
		peerAddr: doc.stringField(nod, "peer"), leaving: doc.enumField(nod, "state", "live", "leaving") == "leaving",
	}
	if nod.fields["instance"] != nil {
		item.instance = doc.stringField(nod, "instance")
	}
	if nod.fields["slots"] != nil {
		item.slots = doc.countField(nod, "slots")
	}
	if nod.fields["cold"] != nil {
		item.coldRemaining = doc.durationField(nod, "cold")
		item.coldVersion = doc.versionField(nod, "cold_at")
	}
	if _, err := netip.ParseAddrPort(item.peerAddr); item.peerAddr != "" && err != nil {
		doc.addErrorAt(nod.fields["peer"], fmt.Sprintf("is %q", item.peerAddr), "give a numeric IP address and port such as 10.0.0.1:7002")
	}
	return item
}

// Snapshot combines the declarations and the host list that the request path uses together.
type Snapshot struct {
	*Declarations
	hosts *Hosts
}

// NewSnapshot returns a snapshot of the declarations and the host list.
func NewSnapshot(dec *Declarations, hos *Hosts) *Snapshot {
	return &Snapshot{Declarations: dec, hosts: hos}
}

// Hosts returns the host list.
func (sna *Snapshot) Hosts() *Hosts { return sna.hosts }
