package upstreamlimits

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// maxReported is the maximum number of limits in one report, at 40 bytes each. The
	// rest follows in the next report.
	maxReported = 500
	// minNewer is by how much newer the value of another box must be to replace the
	// known one. Reports of the same value arrive with ages that differ by the time in
	// transit; without a margin boxes would exchange old values forever.
	minNewer = time.Second
)

// Since returns what has to be reported to a hub, or to another box, of the changes
// after a sequence number, and the last number included.
func (t *Tracker) Since(now time.Time, change int, hub bool) (list []wire.UpstreamLimit, last int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change == t.changes {
		return nil, change
	}
	changed := func(id string) int {
		if hub {
			return t.list[id].hubReport.changed
		}
		return t.list[id].peerReport.changed
	}
	var ids []string
	for id := range t.list {
		if changed(id) > change {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(changed(a), changed(b)) })
	for _, id := range ids {
		list = append(list, t.list[id].report(now, id))
		if len(list) >= maxReported {
			return list, changed(id)
		}
	}
	return list, t.changes
}

// Report returns the limit of one upstream, for reports.
func (t *Tracker) Report(now time.Time, upstream string) wire.UpstreamLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.list[upstream]
	if !ok {
		return wire.UpstreamLimit{Upstream: upstream}
	}
	return e.report(now, upstream)
}

func (e *limit) report(now time.Time, upstream string) wire.UpstreamLimit {
	w := wire.UpstreamLimit{Upstream: upstream, Born: int(e.startedAt), Period: e.period, Holds: e.active, AgeMs: int(now.Sub(e.at).Milliseconds())}
	if e.active {
		w.PerSecond = e.perSecond
	}
	return w
}

// Update applies a report of a hub or another box. The ages in it are relative to now.
func (t *Tracker) Update(now time.Time, list []wire.UpstreamLimit, hub bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	source := fromPeer
	if hub {
		source = fromHub
	}
	for _, w := range list {
		if w.Period > 0 && w.PerSecond >= 0 {
			t.apply(now, w, source)
		}
	}
}

// apply applies the report of one limit. A later period takes precedence over an
// earlier one, the end of a period over its values, and a newer value over an older
// one.
func (t *Tracker) apply(now time.Time, w wire.UpstreamLimit, source string) {
	at := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
	e, known := t.list[w.Upstream]
	switch {
	case known && int64(w.Born) < e.startedAt:
		return
	case known && int64(w.Born) > e.startedAt && e.startedAt > 0:
		e = &limit{}
		t.list[w.Upstream] = e
	}
	e = t.entryOf(w.Upstream, int64(w.Born))
	switch {
	case w.Period < e.period:
		return
	case w.Period > e.period:
		e.period = w.Period
		e.active = e.active && !w.Holds // else it is announced again
	case !e.active || w.Holds && !at.After(e.at.Add(minNewer)):
		return
	}
	switch {
	case w.Holds:
		t.announced(now, w.Upstream, e, w.PerSecond, at, source)
	case e.active:
		t.ended(now, w.Upstream, e, at, source)
	default: // the end of a limit that was unknown here
		e.at = at
		t.markChanged(&e.hubReport, now, 0)
		t.markChanged(&e.peerReport, now, 0)
	}
}
