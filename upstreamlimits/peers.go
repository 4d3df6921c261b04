package upstreamlimits

import (
	"cmp"
	"slices"
	"time"

	"petrelstep/wire"
)

const (
	// tellMost bounds the limits of one message: 40 bytes each. What is left follows
	// with the next call.
	tellMost = 500
	// newer is by how much later another box must have heard a limit for its value to
	// count here: the ways by which a word comes differ by that much, and boxes would
	// remind each other of old values for good.
	newer = time.Second
)

// Since returns what a hub, or another box, is to be told that changed after a change, and
// the last change that it holds.
func (l *Tracker) Since(now time.Time, change int, hub bool) (list []wire.UpstreamLimit, last int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change == l.changes {
		return nil, change
	}
	told := func(id string) int {
		if hub {
			return l.list[id].fine.changed
		}
		return l.list[id].rough.changed
	}
	var ids []string
	for id := range l.list {
		if told(id) > change {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(told(a), told(b)) })
	for _, id := range ids {
		list = append(list, l.list[id].word(now, id))
		if len(list) >= tellMost {
			return list, told(id)
		}
	}
	return list, l.changes
}

// Report returns what is known of one upstream.
func (l *Tracker) Report(now time.Time, upstream string) wire.UpstreamLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	have, ok := l.list[upstream]
	if !ok {
		return wire.UpstreamLimit{Upstream: upstream}
	}
	return have.word(now, upstream)
}

func (h *limit) word(now time.Time, upstream string) wire.UpstreamLimit {
	w := wire.UpstreamLimit{Upstream: upstream, Born: int(h.born), Period: h.period, Holds: h.holds, AgeMs: int(now.Sub(h.at).Milliseconds())}
	if h.holds {
		w.PerSecond = h.perSecond
	}
	return w
}

// Update takes what a hub, or another box, knows, with ages as of now at the latest.
func (l *Tracker) Update(now time.Time, list []wire.UpstreamLimit, hub bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source := fromPeer
	if hub {
		source = fromHub
	}
	for _, w := range list {
		if w.Period > 0 && w.PerSecond >= 0 {
			l.told(now, w, source)
		}
	}
}

// told takes one word. A later period counts more than an earlier one, the end of a
// period more than any word of it, and of its words the newer.
func (l *Tracker) told(now time.Time, w wire.UpstreamLimit, source string) {
	at := now.Add(-time.Duration(w.AgeMs) * time.Millisecond)
	have, known := l.list[w.Upstream]
	switch {
	case known && int64(w.Born) < have.born:
		return
	case known && int64(w.Born) > have.born && have.born > 0:
		have = &limit{}
		l.list[w.Upstream] = have
	}
	have = l.of(w.Upstream, int64(w.Born))
	switch {
	case w.Period < have.period:
		return
	case w.Period > have.period:
		have.period = w.Period
		have.holds = have.holds && !w.Holds // else it is named anew
	case !have.holds || w.Holds && !at.After(have.at.Add(newer)):
		return
	}
	switch {
	case w.Holds:
		l.named(now, w.Upstream, have, w.PerSecond, at, source)
	case have.holds:
		l.ended(now, w.Upstream, have, at, source)
	default: // of a limit that this box has never heard of
		have.at = at
		l.tell(&have.fine, now, 0)
		l.tell(&have.rough, now, 0)
	}
}
