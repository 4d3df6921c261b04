package edge

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"petrelstep/config"
	"petrelstep/members"
	"petrelstep/readpolicy"
	"petrelstep/storecontact"
	"petrelstep/tablesync"
	"petrelstep/wire"
)

// followers returns the followers of the store's tables.
func (e *Edge) followers(workers tablesync.Source) []*tablesync.Follower {
	return []*tablesync.Follower{
		e.follower(storecontact.Configuration, e.configuration, e.routes.Confirm, e.routes.Age),
		e.follower(storecontact.Upstreams, workers, e.confirmFleet, e.fleet.Age),
	}
}

func (e *Edge) follower(table storecontact.Table, source tablesync.Source, confirm func(time.Time), age func(time.Time) (time.Duration, bool)) *tablesync.Follower {
	policy := readpolicy.New(e, age, e.config.Edge.ColdStart, e.random).WithContact(tableContact{e, table})
	return tablesync.New(string(table), source, storeAnswers{e, table, confirm}, &loggedPolicy{Policy: policy, table: table, edge: e, age: age}, e.log)
}

// storeAnswers records the store's answers on one table.
type storeAnswers struct {
	edge    *Edge
	table   storecontact.Table
	confirm func(sent time.Time)
}

// onStoreRestored logs and counts that the store came back from an older copy.
func (e *Edge) onStoreRestored(before, after int) {
	now := time.Now()
	version, configurationAge := 0, neverAge
	if table, age, _ := e.routes.Current(now); table != nil {
		version, configurationAge = table.Version(), min(age, neverAge)
	}
	fleetAge, _ := e.fleet.Age(now)
	e.metrics.StoreRestored()
	e.registrar.storeRestored(after)
	e.quarantineStore.restored.Store(true)
	e.log.WithFields(logrus.Fields{
		"era": after, "before": before, "reads": e.IsReader(), "version": version,
		"age_ms": configurationAge.Milliseconds(), "upstreams_age_ms": min(fleetAge, neverAge).Milliseconds(),
	}).Warn("store_restored")
}

// Confirm implements tablesync.Observer.
func (s storeAnswers) Confirm(sent time.Time) { s.confirm(sent) }

// Failed implements tablesync.Observer.
func (s storeAnswers) Failed(sent time.Time) {
	if s.table == storecontact.Upstreams {
		s.edge.fleet.RecordFailure(sent)
	}
}

// Answered implements tablesync.Observer.
func (s storeAnswers) Answered(at time.Time) {
	s.edge.recordStoreAnswer(at)
	s.edge.contact.RecordOwn(s.table, at)
	if s.edge.IsReader() {
		s.edge.contact.Record(s.table, s.edge.Name(), true, at)
	}
}

// answeredAgeMs returns the milliseconds since the store answered this box about a table, at
// least 1, or neverAge.
func (e *Edge) answeredAgeMs(now time.Time, table storecontact.Table) int {
	at, ok := e.contact.Own(table)
	if !ok {
		return int(neverAge.Milliseconds())
	}
	return int(now.Sub(at).Milliseconds()) + 1
}

// receiveContact records when the store last answered the box that sent an answer.
func (e *Edge) receiveContact(now time.Time, a wire.GossipAnswer, sent time.Time) {
	reader := e.members.IsReaderBox(now, a.Sender.Box)
	for table, ms := range map[storecontact.Table]int{storecontact.Configuration: a.ConfigurationReadMs, storecontact.Upstreams: a.UpstreamsReadMs} {
		switch {
		case config.Millis(ms) >= neverAge:
			e.contact.RecordNone(table, a.Sender.Box)
		case ms > 0:
			e.contact.Record(table, a.Sender.Box, reader, sent.Add(-config.Millis(ms)))
		case reader:
			e.contact.RecordUnreported(table, now)
		}
	}
}

// Standbys implements gossip.Handler.
func (e *Edge) Standbys(now time.Time) []members.Box {
	for _, table := range []storecontact.Table{storecontact.Configuration, storecontact.Upstreams} {
		if silence, known := e.contact.ReaderSilence(now, table); known && silence > readpolicy.StandbyAge {
			return e.members.StandbysToCall(now)
		}
	}
	return nil
}

// tableContact implements readpolicy.Contact.
type tableContact struct {
	edge  *Edge
	table storecontact.Table
}

// ReaderSilence implements readpolicy.Contact.
func (c tableContact) ReaderSilence(now time.Time) (time.Duration, bool) {
	return c.edge.contact.ReaderSilence(now, c.table)
}

// Silence implements readpolicy.Contact.
func (c tableContact) Silence(now time.Time) (time.Duration, bool) {
	return c.edge.contact.Silence(now, c.table)
}

// Standby implements readpolicy.Contact.
func (c tableContact) Standby() bool {
	_, is := c.edge.members.ReadIndex(time.Now())
	return is && !c.edge.IsReader() && c.Fallback()
}

// Fallback implements readpolicy.Contact. The boxes of a large fleet that are not hubs leave
// the store to the hubs: all of them at once would read more than it can send. A box that has
// just become a hub may have no reports of the readers yet.
func (c tableContact) Fallback() bool {
	since, hub := c.edge.members.IsHub(time.Now())
	return !c.edge.IsLargeFleet() || hub && since >= hubSettleTime
}

// Phase implements readpolicy.Contact. The calls of the readers end one after the other, those
// for the two tables in turns, so that the store's silence shows soon.
func (c tableContact) Phase(now time.Time) (time.Duration, bool) {
	index, is := c.edge.members.ReadIndex(now)
	ms, known := c.edge.storeClock(now)
	if !is || !known {
		return 0, false
	}
	slot := time.Duration(index%members.MaxReaders) * readpolicy.ReadPeriod / members.MaxReaders
	if c.table == storecontact.Upstreams {
		slot += readpolicy.ReadPeriod / (2 * members.MaxReaders)
	}
	return (config.Millis(int(ms%readpolicy.ReadPeriod.Milliseconds())) + readpolicy.ReadPeriod - slot) % readpolicy.ReadPeriod, true
}

// loggedPolicy logs and counts the reasons for reading a table.
type loggedPolicy struct {
	*readpolicy.Policy
	table  storecontact.Table
	edge   *Edge
	age    func(now time.Time) (time.Duration, bool)
	last   readpolicy.Reason
	silent bool // the store answers no reader
}

// Needed implements tablesync.Need.
func (r *loggedPolicy) Needed(now time.Time) bool {
	r.logSilence(now)
	reason := r.Reason(now)
	if reason != r.last && reason != readpolicy.None {
		age, known := r.age(now)
		r.edge.metrics.StoreRead(string(r.table), string(reason))
		r.edge.log.WithFields(logrus.Fields{
			"table": r.table, "reason": reason, "known": known, "age_ms": min(age, neverAge).Milliseconds(), "nearest": r.edge.members.PrimaryHub(now).Name,
		}).Info("store_read")
	}
	r.last = reason
	return reason != readpolicy.None
}

// logSilence logs when the store stops and begins to answer the readers.
func (r *loggedPolicy) logSilence(now time.Time) {
	silence, known := r.edge.contact.ReaderSilence(now, r.table)
	silent := known && silence > readpolicy.StandbyAge
	if silent == r.silent {
		return
	}
	r.silent = silent
	others, _ := r.edge.contact.Silence(now, r.table)
	log := r.edge.log.WithFields(logrus.Fields{"table": r.table, "silent_ms": min(silence, neverAge).Milliseconds(), "others_ms": min(others, neverAge).Milliseconds()})
	if silent {
		log.WithField("standbys", boxNames(r.edge.members.Standbys(now))).Warn("readers_unanswered")
		return
	}
	log.Info("readers_answered")
}

func boxNames(boxes []members.Box) string {
	list := make([]string, 0, len(boxes))
	for _, b := range boxes {
		list = append(list, b.Name)
	}
	return strings.Join(list, ",")
}
