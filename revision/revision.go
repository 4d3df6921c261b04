// Package revision orders what is read from the platform's store. The store numbers its
// transactions; when it is restored from an older copy it begins a new era and assigns the
// numbers after the copy's again.
package revision

import (
	"strconv"
	"time"
)

// RestoreTime is the time after the store was restored in which the copy may lack what was added,
// and hold what was removed: what was lost is written again within two seconds, and known to all
// boxes within another.
const RestoreTime = 3 * time.Second

// versionBits is the number of low bits that hold the version.
const versionBits = 48

// Bounds of the parts of a revision.
const (
	MaxEra     = 1<<(63-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// Revision is a version of the store in one of its eras. The revisions of a later era are
// greater than all those of earlier ones. The zero value is before all others.
type Revision int64

// New returns the revision of a version in an era, which must not exceed the bounds.
func New(era int, version int64) Revision {
	return Revision(int64(era)<<versionBits | version)
}

// Era returns the era; 0 if the store names none.
func (r Revision) Era() int { return int(r >> versionBits) }

// Version returns the store's number, which is unique only within the era.
func (r Revision) Version() int64 { return int64(r & MaxVersion) }

// String returns the revision as era/version, for the log, and the version alone if the store
// names no era.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Version(), 10)
	}
	return strconv.Itoa(r.Era()) + "/" + strconv.FormatInt(r.Version(), 10)
}
