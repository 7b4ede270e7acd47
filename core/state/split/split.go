package split

import (
	"slices"
	"sync"

	"amaranthline/core/state/decl"
)

// Splitter chooses a service for each request by smooth weighted round-robin, so that any run of consecutive requests
// follows the weights closely. It is safe for concurrent use.
type Splitter struct {
	mut            sync.Mutex
	currentWeights map[string][]int // by ingress route, in the order of its weighted services
}

// New returns a splitter that has chosen no service yet.
func New() *Splitter { return &Splitter{currentWeights: map[string][]int{}} }

// Next returns the service for the next request of an ingress route.
func (spl *Splitter) Next(rou *decl.IngressRoute) string {
	services := rou.WeightedServices()
	if len(services) == 1 {
		return services[0].Service()
	}
	spl.mut.Lock()
	defer spl.mut.Unlock()
	current := spl.currentWeights[rou.Name()]
	if len(current) != len(services) {
		current = make([]int, len(services))
		spl.currentWeights[rou.Name()] = current
	}
	return services[advance(current, services)].Service()
}

// Peek returns the service that Next would return.
func (spl *Splitter) Peek(rou *decl.IngressRoute) string {
	services := rou.WeightedServices()
	spl.mut.Lock()
	defer spl.mut.Unlock()
	current := slices.Clone(spl.currentWeights[rou.Name()])
	if len(current) != len(services) {
		current = make([]int, len(services))
	}
	return services[advance(current, services)].Service()
}

// advance chooses the next service and returns its index.
func advance(current []int, services []decl.WeightedService) int {
	best, total := 0, 0
	for i, svc := range services {
		current[i] += svc.Weight()
		total += svc.Weight()
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return best
}
