package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Class is a class of work in a plan.
type Class struct {
	Name          string
	TargetRatio   float64
	TargetLatency time.Duration
}

// Route is a route of a service in a plan.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open"`
}

// Service is a service of a plan with one upstream in each failure domain.
type Service struct {
	Name         string
	Routes       []Route
	Slots        int
	Connections  int
	ServiceTime  time.Duration // service time of one request
	NestedCalls  []string      // nested calls, "METHOD /SERVICE/path"
	UpstreamArgs []string      // further flags of the upstream stand-in
}

// Team is a team with one key, which is its name with "-key".
type Team struct {
	Name  string
	Rate  float64
	Burst float64
}

// Key returns the team's key.
func (tea Team) Key() string { return tea.Name + "-key" }

// Plan says what a fleet consists of.
type Plan struct {
	Domains    []string
	OutDomains map[string]bool // failure domains that are taken out
	Classes    []Class
	Services   []Service
	Teams      []Team
	Revoked    map[string]bool // teams whose key is revoked

	ConfigServices int // platform stand-ins, of which each service reads one; 1 when zero
	// Advertise returns the address that the host list shows instead of a host's peer address; nil shows the address itself.
	Advertise func(host, peer string) (string, error)
}

func (pla *Plan) advertise(hos *Host) (err error) {
	if pla.Advertise != nil {
		hos.peer, err = pla.Advertise(hos.id, hos.peer)
	}
	return err
}

type object map[string]any

// declarations returns the published document of a plan.
func (pla *Plan) declarations(version uint64) []byte {
	classes, services, teams, keys, domains := []object{}, []object{}, []object{}, []object{}, []object{}
	for _, cla := range pla.Classes {
		target := object{"answered": cla.TargetRatio, "within": cla.TargetLatency.String()}
		classes = append(classes, object{"name": cla.Name, "target": target})
	}
	for _, ser := range pla.Services {
		services = append(services, object{"name": ser.Name, "routes": ser.Routes})
	}
	for _, tea := range pla.Teams {
		teams = append(teams, object{"name": tea.Name, "rate": tea.Rate, "burst": tea.Burst})
		if !pla.Revoked[tea.Name] {
			sum := sha256.Sum256([]byte(tea.Key()))
			keys = append(keys, object{"id": tea.Name + "-1", "team": tea.Name, "sha256": hex.EncodeToString(sum[:])})
		}
	}
	for _, name := range pla.Domains {
		state := "in"
		if pla.OutDomains[name] {
			state = "out"
		}
		domains = append(domains, object{"name": name, "region": "loopback", "state": state})
	}
	return marshal(object{
		"version": version, "classes": classes, "services": services, "teams": teams, "keys": keys, "domains": domains,
	})
}

func marshal(doc object) []byte {
	data, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		panic(err) // the documents hold only strings, numbers and lists of them
	}
	return data
}
