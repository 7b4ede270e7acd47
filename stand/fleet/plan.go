package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Class is a class of requests with its target.
type Class struct {
	Name          string
	TargetRatio   float64 // of the requests that are answered within TargetLatency
	TargetLatency time.Duration
}

// Route is a route of a service.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open"`
}

// Service is a service with one upstream in each failure domain.
type Service struct {
	Name         string
	Routes       []Route
	Slots        int           // of each upstream
	Connections  int           // bound on the open connections of each upstream
	ServiceTime  time.Duration // of one request in one slot
	NestedCalls  []string      // sent for each request, "METHOD /SERVICE/path"
	UpstreamArgs []string      // additional flags of the upstream stand-in
}

// Team is a team with one key, which is its name followed by "-key".
type Team struct {
	Name  string
	Rate  float64 // requests/s
	Burst float64 // requests
}

// Key returns the team's key.
func (tea Team) Key() string { return tea.Name + "-key" }

// Plan describes a fleet: its failure domains, services, classes and teams.
type Plan struct {
	Domains      []string
	OutDomains   map[string]bool // failure domains that are taken out of service
	Classes      []Class
	Services     []Service
	Teams        []Team
	RevokedTeams map[string]bool // teams whose key is revoked

	ConfigServices int // number of stand-ins for the configuration service; 1 when zero. Nodes of one service read the same one
	// Advertise returns the address to publish in the host list instead of a host's peer address; nil publishes the peer
	// address itself.
	Advertise func(host, peer string) (string, error)
}

func (pla *Plan) advertise(hos *Host) (err error) {
	if pla.Advertise != nil {
		hos.peer, err = pla.Advertise(hos.id, hos.peer)
	}
	return err
}

type object map[string]any

// declarations returns the declarations document of a plan.
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
		if !pla.RevokedTeams[tea.Name] {
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
		panic(err) // the documents hold only strings, numbers, booleans, lists and objects
	}
	return data
}
