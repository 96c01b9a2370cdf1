package estimate

// DefaultMaxRoutes is the number of routes that a Table tracks separately by default.
const DefaultMaxRoutes = 256

// Table holds statistics per route and over all routes. Routes beyond its maximum share one DurationStats.
type Table struct {
	maxRoutes int
	all       DurationStats
	overflow  DurationStats // shared by the routes beyond maxRoutes
	routes    map[string]*DurationStats
}

// NewTable returns an empty table for at most maxRoutes routes. Zero or a negative number means DefaultMaxRoutes.
func NewTable(maxRoutes int) *Table {
	if maxRoutes <= 0 {
		maxRoutes = DefaultMaxRoutes
	}
	return &Table{maxRoutes: maxRoutes, routes: make(map[string]*DurationStats)}
}

// All returns the statistics over all routes. The caller has to add observations to them itself.
func (t *Table) All() *DurationStats { return &t.all }

// Route returns the statistics of the named route and creates them when needed. The pointer stays valid for the
// lifetime of the table.
func (t *Table) Route(name string) *DurationStats {
	if stats, ok := t.routes[name]; ok {
		return stats
	}
	if len(t.routes) >= t.maxRoutes {
		return &t.overflow
	}
	stats := &DurationStats{}
	t.routes[name] = stats
	return stats
}
