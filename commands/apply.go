package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"

	"github.com/google/subcommands"

	"petrelstep/client"
	"petrelstep/verify"
	"petrelstep/wire"
)

func init() { subcommands.Register(&apply{}, "operators") }

// apply writes declared resources.
type apply struct {
	target
	file string
}

func (*apply) Name() string     { return "apply" }
func (*apply) Synopsis() string { return "declare resources from a JSON file" }
func (*apply) Usage() string {
	return `apply -f FILE: declare the resources of a JSON array, or of consecutive JSON
objects; - reads standard input. A resource without a version replaces the version
in force; one with a version replaces only that version.

  petrelstep apply -f examples/declaration.json
  petrelstep get -o json Model | petrelstep apply -f -
`
}

func (c *apply) SetFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f)
	f.StringVar(&c.file, "f", "", "file, or - for standard input")
}

func (c *apply) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	boxes, ok := c.client()
	if !ok || c.file == "" {
		return exitUsage
	}
	raw, err := readFile(c.file)
	if err != nil {
		return fail(err)
	}
	items, err := parseResources(raw)
	if err != nil {
		return fail(err)
	}
	for _, item := range items {
		done, changed, err := putResource(ctx, boxes, item)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s/%s: ", item.Kind, item.Name)
			return fail(err)
		}
		result := "unchanged"
		if changed {
			result = "accepted"
		}
		fmt.Printf("%s/%s %s version=%d revision=%d\n", done.Kind, done.Name, result, done.Version, done.Revision)
	}
	return exitDone
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// parseResources decodes resources and sorts them so that references come after their
// targets.
func parseResources(raw []byte) ([]wire.Resource, error) {
	var items []wire.Resource
	d := json.NewDecoder(bytes.NewReader(raw))
	for {
		var next json.RawMessage
		if err := d.Decode(&next); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, err
		}
		decoded, err := decodeItems(next)
		if err != nil {
			return nil, err
		}
		items = append(items, decoded...)
	}
	rank := map[wire.ResourceKind]int{}
	for i, k := range verify.Kinds() {
		rank[k] = i
	}
	sort.SliceStable(items, func(i, j int) bool { return rank[items[i].Kind] < rank[items[j].Kind] })
	return items, nil
}

// decodeItems decodes a resource, an array of resources, or the list that get prints.
func decodeItems(raw json.RawMessage) ([]wire.Resource, error) {
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		var items []wire.Resource
		err := json.Unmarshal(raw, &items)
		return items, err
	}
	var list wire.ResourceList
	if json.Unmarshal(raw, &list) == nil {
		return list.Items, nil
	}
	var item wire.Resource
	err := json.Unmarshal(raw, &item)
	return []wire.Resource{item}, err
}

// putResource writes one resource. Without a version it replaces the one in force and
// retries if another operator has written meanwhile.
func putResource(ctx context.Context, boxes *client.Client, item wire.Resource) (done wire.Resource, changed bool, err error) {
	given := item.Version != 0
	path := fmt.Sprintf("/v1/resources/%s/%s", item.Kind, item.Name)
	const tries = 3
	for range tries {
		var now wire.Resource
		err = boxes.Call(ctx, http.MethodGet, path, nil, &now)
		if err == nil && sameJSON(now.Spec, item.Spec) && (!given || now.Version == item.Version) {
			return now, false, nil
		}
		if !given {
			item.Version = now.Version
		}
		err = boxes.Call(ctx, http.MethodPut, path, item, &done)
		var refused *client.Error
		if err == nil || given || !errors.As(err, &refused) || refused.Body.Reason != "conflict" {
			return done, true, err
		}
		// A removed resource has a version too, which the refusal names.
		item.Version = refused.Body.Version
		if err = boxes.Call(ctx, http.MethodPut, path, item, &done); err == nil {
			return done, true, nil
		}
	}
	return done, false, err
}

// sameJSON reports whether two JSON texts have the same value.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	one, _ := json.Marshal(x)
	two, _ := json.Marshal(y)
	return bytes.Equal(one, two)
}
