package storecontact_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"petrelstep/storecontact"
)

const table = storecontact.Configuration

// TestSilence checks how long the store has not answered the readers, and any other box.
func TestSilence(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		record         func(c *storecontact.Tracker)
		readers, boxes time.Duration // negative if unknown
	}{
		"no report": {func(*storecontact.Tracker) {}, -1, -1},
		"a reader":  {func(c *storecontact.Tracker) { c.Record(table, "b", true, ago(time.Second)) }, time.Second, time.Second},
		"another table": {func(c *storecontact.Tracker) {
			c.Record(storecontact.Upstreams, "b", true, ago(time.Second))
		}, -1, -1},
		"no reader was ever answered":      {func(c *storecontact.Tracker) { c.Record(table, "b", false, ago(time.Second)) }, -1, -1},
		"a reader that was never answered": {func(c *storecontact.Tracker) { c.RecordNone(table, "b") }, -1, -1},
		"an older report comes late": {func(c *storecontact.Tracker) {
			c.Record(table, "b", true, ago(time.Second))
			c.Record(table, "b", true, ago(2*time.Second))
		}, time.Second, time.Second},
		"a standby is answered, no reader": {func(c *storecontact.Tracker) {
			c.Record(table, "b", true, ago(5*time.Second))
			c.Record(table, "b", false, ago(time.Second))
		}, 5 * time.Second, time.Second},
		"a reader of an earlier release": {func(c *storecontact.Tracker) {
			c.Record(table, "b", true, ago(time.Second))
			c.RecordUnreported(table, ago(2*time.Second))
		}, -1, -1},
		"no reader of an earlier release is left": {func(c *storecontact.Tracker) {
			c.Record(table, "b", true, ago(time.Second))
			c.RecordUnreported(table, ago(3*time.Second))
		}, time.Second, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := storecontact.New()
			tt.record(c)
			readers, known := c.ReaderSilence(now, table)
			is.Equal(known, tt.readers >= 0)
			boxes, _ := c.Silence(now, table)
			if known {
				is.Equal(readers, tt.readers)
				is.Equal(boxes, tt.boxes)
			}
		})
	}
}

// TestBoxSilence checks how long the store has not answered one reader.
func TestBoxSilence(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := storecontact.New()
	c.Record(table, "a", true, now.Add(-3*time.Second))
	c.Record(table, "b", true, now.Add(-time.Second))
	c.Record(table, "c", false, now)
	c.RecordNone(table, "e")
	never, reported := c.BoxSilence(now, table, "e")
	is.True(reported && never > time.Hour)
	silence, reported := c.BoxSilence(now, table, "a")
	is.True(reported)
	is.Equal(silence, 3*time.Second)
	for _, box := range []string{"c", "d"} {
		_, reported = c.BoxSilence(now, table, box)
		is.True(!reported)
	}
}

// TestOtherSilence checks how long the store has not answered one box that is no reader.
func TestOtherSilence(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := storecontact.New()
	c.Record(table, "a", false, now.Add(-3*time.Second))
	c.Record(table, "b", true, now)
	c.Record(storecontact.Upstreams, "c", false, now)
	silence, reported := c.OtherSilence(now, table, "a")
	is.True(reported)
	is.Equal(silence, 3*time.Second)
	for _, box := range []string{"b", "c", "d"} {
		_, reported = c.OtherSilence(now, table, box)
		is.True(!reported)
	}
}
