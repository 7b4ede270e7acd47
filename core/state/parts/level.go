package parts

import (
	"math"
	"slices"
)

// Claim is what one team asks for.
type Claim struct {
	weight float64
	demand float64 // slots
}

// NewClaim returns a claim; the weight is positive and the demand is in slots.
func NewClaim(weight, demand float64) Claim { return Claim{weight: weight, demand: demand} }

// Part returns the claim's part in slots at a level.
func (cla Claim) Part(level float64) float64 { return min(cla.demand, level*cla.weight) }

// Level returns the level at which the parts of all claims add up to the room, or infinity if the room suffices for all
// demands. It is the water-filling method for weighted max-min fairness (Bertsekas and Gallager, Data Networks, section
// 6.5). It sorts the claims.
func Level(room float64, claims []Claim) float64 {
	slices.SortFunc(claims, func(one, two Claim) int {
		switch left, right := one.demand*two.weight, two.demand*one.weight; {
		case left < right:
			return -1
		case left > right:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, cla := range claims {
		weights += cla.weight
	}
	for _, cla := range claims {
		if level := max(room, 0) / weights; cla.demand > level*cla.weight {
			return level
		}
		room -= cla.demand
		weights -= cla.weight
	}
	return math.Inf(1)
}
