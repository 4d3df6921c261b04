// Package unserved finds the placed models for which a box knows no engine that takes work.
package unserved

import (
	"slices"
	"sync"
	"time"

	"petrelstep/resource"
)

// period is how long a result is used, as each heartbeat and its answer include it.
const period = 250 * time.Millisecond

// Models finds the models of one box. It is safe for concurrent use.
type Models struct {
	resources *resource.Resources
	served    func(now time.Time) map[string]bool

	mu   sync.Mutex
	at   time.Time
	view *resource.View
	list []string
}

// New returns the models of a configuration; served returns those with an engine.
func New(r *resource.Resources, served func(now time.Time) map[string]bool) *Models {
	return &Models{resources: r, served: served}
}

// List returns the placed models without an engine, sorted, as of the present revision.
// Callers do not change it.
func (m *Models) List(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.resources.View()
	if view == m.view && now.Sub(m.at) < period {
		return m.list
	}
	m.at, m.view, m.list = now, view, unserved(view, m.served(now))
	return m.list
}

func unserved(view *resource.View, served map[string]bool) []string {
	list := []string{}
	for _, p := range view.Placements {
		if p.Replicas > 0 && !served[p.Model] {
			list = append(list, p.Model)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
