package region

// Nearest orders groups by distance alone. Tests compare Selector with it.
type Nearest struct{}

// Choose returns the indexes of the usable groups, the nearest first.
func (Nearest) Choose(candidates []Candidate) (ordered []int) {
	for distance := SameSite; distance <= OtherRegion; distance++ {
		for i := range candidates {
			if candidates[i].Distance == distance && candidates[i].usable() {
				ordered = append(ordered, i)
			}
		}
	}
	return ordered
}
