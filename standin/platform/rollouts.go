package platform

import (
	"encoding/json"
	"strings"
	"time"

	"petrelstep/platform/store"
)

// Rows of roll-outs: the operator's orders and what became of them.
const (
	statusTable   = "status"
	rolloutPrefix = "rollout/"
)

// RolloutStatus is one value that was written to a service's status.
type RolloutStatus struct {
	Service string    `json:"service"`
	Target  string    `json:"target_version"`
	State   string    `json:"state"`
	At      time.Time `json:"-"`
}

// OrderRollout writes the operator's order that a service moves to workers of a version.
func (p *Platform) OrderRollout(service, version string, duration time.Duration) {
	p.put("op", rolloutPrefix+service, map[string]any{
		"service": service, "target_version": version, "duration_s": duration.Seconds(),
	})
}

// WithdrawRollout removes that order.
func (p *Platform) WithdrawRollout(service string) {
	p.Remove(store.Row{Table: "op", Key: rolloutPrefix + service})
}

// RolloutStatus returns a service's status, and false if none has been written.
func (p *Platform) RolloutStatus(service string) (RolloutStatus, bool) {
	all := p.RolloutStatuses(service)
	if len(all) == 0 {
		return RolloutStatus{}, false
	}
	return all[len(all)-1], true
}

// RolloutStatuses returns all values ever written to a service's status, oldest first. They
// outlast the history of changes.
func (p *Platform) RolloutStatuses(service string) []RolloutStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []RolloutStatus
	for _, s := range p.rows.statuses {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}

// Row returns the value of a row, and false if there is none.
func (p *Platform) Row(table, key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rows.rows[rowKey{table: table, key: key}]
	return r.Value, ok
}

// recordStatus records a write of a roll-out's status. The key names the service; a value that
// is not JSON is recorded without a state.
func (s *rowSet) recordStatus(r store.Row) {
	service, ok := strings.CutPrefix(r.Key, rolloutPrefix)
	if r.Table != statusTable || !ok {
		return
	}
	var status RolloutStatus
	if json.Unmarshal(r.Value, &status) != nil {
		status = RolloutStatus{}
	}
	status.Service, status.At = service, time.Now()
	s.statuses = append(s.statuses, status)
}
