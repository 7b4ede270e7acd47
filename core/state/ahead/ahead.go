package ahead

import "time"

const (
	// MaxPerConnection is the highest limit of requests of one connection in work at once, with the one whose turn it is.
	MaxPerConnection = 16
	// MaxPerNode is the highest number of requests of a node that were begun ahead of their turn and wait for it.
	MaxPerNode = 1024

	// cutInterval is the shortest time between two cuts of a limit. Requests that were begun before a cut go on being
	// refused, which says nothing about the new limit.
	cutInterval = 100 * time.Millisecond
	// growInterval is the time without a refusal after which a limit rises by one.
	growInterval = 250 * time.Millisecond
	// maxRoutes bounds the routes with a lowered limit. Only declared routes have one.
	maxRoutes = 4096
)

// Limiter limits the requests that are begun ahead of their turn.
type Limiter struct {
	begun  int
	routes map[string]*routeLimit
}

// routeLimit is the lowered limit of requests in work of each connection on a route.
type routeLimit struct {
	limit     int // at changedAt
	changedAt time.Time
	cutAt     time.Time
}

// New returns a limiter without requests.
func New() *Limiter { return &Limiter{routes: map[string]*routeLimit{}} }

// Limit returns how many requests of one connection may be in work at once if they are on the route.
func (lim *Limiter) Limit(now time.Time, route string) int {
	rli := lim.routes[route]
	if rli == nil {
		return MaxPerConnection
	}
	if limit := rli.at(now); limit < MaxPerConnection {
		return limit
	}
	delete(lim.routes, route)
	return MaxPerConnection
}

func (rli *routeLimit) at(now time.Time) int {
	steps := max(now.Sub(rli.changedAt), 0) / growInterval
	return min(rli.limit+int(min(steps, MaxPerConnection)), MaxPerConnection)
}

// Begin reports whether a request on a route may be begun although a number of requests before it on its connection are not
// answered, and counts it if so.
func (lim *Limiter) Begin(now time.Time, route string, unanswered int) bool {
	if lim.begun >= MaxPerNode || unanswered >= lim.Limit(now, route) {
		return false
	}
	lim.begun++
	return true
}

// End counts a begun request out: its turn has come, or it was given up.
func (lim *Limiter) End() { lim.begun-- }

// Begun returns the number of requests that were begun and wait for their turn.
func (lim *Limiter) Begun() int { return lim.begun }

// Refused records that a request on a route was refused for overload, whether it was begun ahead or not. It reports whether
// this lowered the limit from its highest value.
func (lim *Limiter) Refused(now time.Time, route string) (first bool) {
	limit := lim.Limit(now, route)
	rli, lowered := lim.routes[route]
	if !lowered {
		if len(lim.routes) >= maxRoutes {
			return false
		}
		rli = &routeLimit{}
		lim.routes[route] = rli
	}
	if now.Sub(rli.cutAt) >= cutInterval {
		limit = max(limit/2, 1)
		rli.cutAt = now
	}
	rli.limit, rli.changedAt = limit, now
	return !lowered
}

// Lowered returns the number of routes whose limit is lowered.
func (lim *Limiter) Lowered(now time.Time) int {
	count := 0
	for _, rli := range lim.routes {
		if rli.at(now) < MaxPerConnection {
			count++
		}
	}
	return count
}
