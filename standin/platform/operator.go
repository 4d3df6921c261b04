package platform

import (
	"cmp"
	"encoding/json"

	"petrelstep/platform/store"
)

// Route is one route of a manifest.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Service    string
	Streams    bool
	Repeatable bool // a stream may be resumed, another request run again
	Attempts   int
}

// Manifest is the operator's configuration. Its services are "llm", whose workers are
// engines, and all others that routes refer to.
type Manifest struct {
	Version int
	Routes  []Route
	Keys    map[string][]string // by organisation
	Regions map[string][]string // allowed regions, by organisation
	Limits  Limits
}

// Limits bound what callers may send, and how long they may take. Those that are 0 are not
// declared, but for BodyBytes.
type Limits struct {
	HeaderBytes int
	BodyBytes   int // 65536 if it is 0
	HeaderMs    int
	IdleMs      int
}

func (l Limits) row() map[string]any {
	row := map[string]any{"max_body_bytes": cmp.Or(l.BodyBytes, defaultBodyBytes)}
	for name, value := range map[string]int{"max_header_bytes": l.HeaderBytes, "header_timeout_ms": l.HeaderMs, "idle_timeout_ms": l.IdleMs} {
		if value > 0 {
			row[name] = value
		}
	}
	return row
}

const defaultBodyBytes = 64 << 10

// Declare writes a manifest as the operator would.
func (p *Platform) Declare(m Manifest) {
	routes := []map[string]any{}
	services := []map[string]any{{"name": "llm", "engine": map[string]any{"slots": 24, "kv_capacity_tokens": 30000, "moves": true, "stride": 4}}}
	seen := map[string]bool{"llm": true}
	for _, r := range m.Routes {
		kind := "unsafe"
		switch {
		case r.Streams:
			kind = "streaming"
		case r.Repeatable:
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path_prefix": r.Prefix, "kind": kind, "service": r.Service, "max_attempts": r.Attempts,
			"timeout_ms": 20000, "latency_goal_ms": 1000, "gap_aim_ms": 180, "resumable": r.Streams && r.Repeatable,
		})
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service})
		}
	}
	tenants := []map[string]any{}
	for organisation, keys := range m.Keys {
		tenant := map[string]any{"name": organisation, "api_keys": keys}
		if regions := m.Regions[organisation]; len(regions) > 0 {
			tenant["allowed_regions"] = regions
		}
		tenants = append(tenants, tenant)
	}
	p.put("op", "config", map[string]any{
		"version": m.Version, "routes": routes, "services": services, "limits": m.Limits.row(), "tenants": tenants,
	})
}

// Worker holds the fields of a worker's row.
type Worker struct {
	ID        string
	Service   string
	Address   string
	Hall      string
	Version   string // of its software; "v1" if empty
	Leaving   bool
	Slots     int   // 24 if it is 0
	StartedAt int64 // Unix milliseconds; 0 for a worker that doesn't announce its start time
}

// Announce writes a worker's row as the worker would.
func (p *Platform) Announce(w Worker) {
	state, version := "ready", "v1"
	if w.Leaving {
		state = "draining"
	}
	if w.Version != "" {
		version = w.Version
	}
	row := map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Hall, "version": version, "slots": cmp.Or(w.Slots, 24), "state": state, "cold_left_ms": 0, "sequence": 1,
	}
	if w.StartedAt > 0 {
		row["born"] = w.StartedAt
	}
	p.put("servers", w.ID, row)
}

// Withdraw removes a worker's row.
func (p *Platform) Withdraw(id string) { p.Remove(store.Row{Table: "servers", Key: id}) }

// PutRow writes a raw row to the workers' table, as another writer would.
func (p *Platform) PutRow(id string, value []byte) {
	p.Put(store.Row{Table: "servers", Key: id, Value: value})
}

// Evacuate writes the operator's order that a hall's workers get no new requests.
func (p *Platform) Evacuate(hall string) { p.put("op", "evacuate/"+hall, map[string]any{}) }

// CancelEvacuation removes that order.
func (p *Platform) CancelEvacuation(hall string) {
	p.Remove(store.Row{Table: "op", Key: "evacuate/" + hall})
}

func (p *Platform) put(table, key string, value map[string]any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain values
	}
	p.Put(store.Row{Table: table, Key: key, Value: raw})
}
