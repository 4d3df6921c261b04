package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRestoredReturnUnseen guards against requests to an upstream whose entry was removed as a restored
// store returned: boxes pause between calls that fail, and see the return late.
func TestRestoredReturnUnseen(t *testing.T) {
	const boxes, away = 6, 10
	for i := range away {
		gone := 600*time.Millisecond + time.Duration(i)*250*time.Millisecond
		t.Run(fmt.Sprint("away for ", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, boxes, 3, 60)
				ctx, end := c.context(t)
				defer end()
				c.startAll(ctx)
				c.waitAll(t, "serves", 5*time.Second, (*Edge).ready)
				time.Sleep(5 * time.Second)
				held := c.table.copyRows()
				c.table.interrupt(true)
				time.Sleep(gone)
				c.table.restore(held)
				c.table.remove("servers", "u5")
				c.table.interrupt(false)
				time.Sleep(changeBound)
				for _, e := range c.running() {
					is.True(!e.fleet.Takes("u5"))
				}
			})
		})
	}
}
