package gateway

import (
	"sync/atomic"

	"github.com/bilberryline/bilberryline/internal/routing"
)

// workspaceShares holds the figures of all workspaces that fair shares need, for the configuration that was used last.
type workspaceShares struct{ latest atomic.Pointer[tableShares] }

// tableShares holds the figures of the workspaces of one configuration.
type tableShares struct {
	table *routing.Table
	count int     // number of workspaces, at least 1
	mean  float64 // mean rate of the workspaces that have one, or 0
}

// of returns the figures for a configuration, which may be nil.
func (w *workspaceShares) of(table *routing.Table) *tableShares {
	if latest := w.latest.Load(); latest != nil && latest.table == table {
		return latest
	}
	shares := &tableShares{table: table, count: 1}
	if table != nil {
		limited, sum := 0, 0.0
		for _, workspace := range table.Workspaces {
			if workspace.Rate > 0 {
				limited++
				sum += workspace.Rate
			}
		}
		shares.count = max(1, len(table.Workspaces))
		shares.mean = sum / float64(max(1, limited))
	}
	w.latest.Store(shares)
	return shares
}

// weight returns the weight of a workspace: its rate relative to the mean, or 1 if it has none.
func (s *tableShares) weight(w *routing.Workspace) float64 {
	if w.Rate <= 0 || s.mean <= 0 {
		return 1
	}
	return w.Rate / s.mean
}
