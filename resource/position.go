package resource

import (
	"bytes"
	"encoding/json"

	"petrelstep/wire"
)

// Position orders configurations and writes. The table gives revisions out again when it is
// restored from an older copy, and begins a new era; all positions of a later era are after
// those of an earlier one.
type Position struct {
	Era      int // 0 if not known
	Revision int
}

// PositionOf returns the position of a set of changes.
func PositionOf(set wire.ChangeSet) Position {
	return Position{Era: set.Era, Revision: set.Revision}
}

// After reports whether p is after o.
func (p Position) After(o Position) bool {
	if p.Era != o.Era {
		return p.Era > o.Era
	}
	return p.Revision > o.Revision
}

func written(r wire.Resource) Position { return Position{Era: r.Era, Revision: r.Revision} }

// writtenAfter reports whether a is a later write of a resource than b. A write whose era is not
// known is the same one as that with the same numbers and content.
func writtenAfter(a, b wire.Resource) bool {
	return written(a).After(written(b)) && (b.Era > 0 || !alike(a, b))
}

func alike(a, b wire.Resource) bool {
	return a.Revision == b.Revision && a.Version == b.Version && a.Removed == b.Removed && equalJSON(a.Spec, b.Spec)
}

func equalJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
