// Package cells divides the declared engines into cells. Each cell has a home
// box that grants memory on its engines; all boxes compute the same cells from
// the same configuration.
package cells

import (
	"strconv"
	"strings"

	"petrelstep/resource"
)

// Cell is a group of engines of one hall. Values are immutable.
type Cell struct {
	ID      string
	Hall    string
	Engines []string
}

// Cells are all cells of a configuration.
type Cells struct {
	all []Cell
	of  map[string]string // cell by engine
}

// New divides the engines of each hall, by name, into cells of at most size.
func New(v *resource.View, size int) *Cells {
	c := &Cells{of: map[string]string{}}
	byHall := map[string][]string{}
	var halls []string
	for _, name := range v.Engines("") {
		hall := v.Upstreams[name].Hall
		if len(byHall[hall]) == 0 {
			halls = append(halls, hall)
		}
		byHall[hall] = append(byHall[hall], name)
	}
	for _, hall := range halls {
		c.divide(hall, byHall[hall], size)
	}
	return c
}

func (c *Cells) divide(hall string, engines []string, size int) {
	for i := 0; len(engines) > 0; i++ {
		n := min(size, len(engines))
		cell := Cell{ID: hall + "/" + strconv.Itoa(i), Hall: hall, Engines: engines[:n]}
		for _, e := range cell.Engines {
			c.of[e] = cell.ID
		}
		c.all = append(c.all, cell)
		engines = engines[n:]
	}
}

// All returns the cells.
func (c *Cells) All() []Cell { return c.all }

// Of returns the cell of an engine; empty if it is not declared.
func (c *Cells) Of(engine string) string { return c.of[engine] }

// Hall returns the hall of a cell.
func Hall(id string) string {
	hall, _, _ := strings.Cut(id, "/")
	return hall
}
