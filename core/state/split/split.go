package split

import (
	"sync"

	"amaranthline/core/state/decl"
)

// Splitter chooses a service for each request, so that any run of requests follows the weights closely (smooth
// weighted round-robin). It is safe for concurrent use.
type Splitter struct {
	mut     sync.Mutex
	current map[string][]int // by ingress route, in the order of its weighted services
}

// New returns a splitter without history.
func New() *Splitter { return &Splitter{current: map[string][]int{}} }

// Next returns the service of the next request of an ingress route.
func (spl *Splitter) Next(ent *decl.IngressRoute) string {
	parts := ent.WeightedServices()
	if len(parts) == 1 {
		return parts[0].Service()
	}
	spl.mut.Lock()
	defer spl.mut.Unlock()
	current := spl.current[ent.Name()]
	if len(current) != len(parts) {
		current = make([]int, len(parts))
		spl.current[ent.Name()] = current
	}
	best, total := 0, 0
	for i, par := range parts {
		current[i] += par.Weight()
		total += par.Weight()
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return parts[best].Service()
}
