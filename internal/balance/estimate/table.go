package estimate

// DefaultMaxRoutes is the number of routes that a Table keeps apart unless told otherwise.
const DefaultMaxRoutes = 256

// Table keeps a Cost per route and one over all routes. Routes beyond its size share one Cost.
type Table struct {
	maxRoutes    int
	all    DurationStats
	overflow   DurationStats
	routes map[string]*DurationStats
}

// NewTable returns an empty table for at most maxRoutes routes; zero means DefaultMaxRoutes.
func NewTable(maxRoutes int) *Table {
	if maxRoutes <= 0 {
		maxRoutes = DefaultMaxRoutes
	}
	return &Table{maxRoutes: maxRoutes, routes: make(map[string]*DurationStats)}
}

// All returns the cost over all routes.
func (t *Table) All() *DurationStats { return &t.all }

// Route returns the cost of the named route. The pointer stays valid for the table's life.
func (t *Table) Route(name string) *DurationStats {
	if c, ok := t.routes[name]; ok {
		return c
	}
	if len(t.routes) >= t.maxRoutes {
		return &t.overflow
	}
	c := &DurationStats{}
	t.routes[name] = c
	return c
}
