// Package schemacheck validates JSON against a schema and lists every mistake,
// including unknown fields, with its JSON pointer.
package schemacheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"petrelstep/schema"
)

const base = "https://petrelstep.example/schema/"

// Checker validates JSON against one definition of the schemas.
type Checker struct{ schema *jsonschema.Schema }

// New returns a checker for a definition of messages.json by its name, or for
// settings.json by "Settings". The schemas are embedded, so New panics for an
// unknown name.
func New(name string) *Checker {
	c := jsonschema.NewCompiler()
	for _, file := range []string{"messages.json", "settings.json"} {
		raw, err := schema.Files.ReadFile(file)
		if err != nil {
			panic(err)
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
		if err != nil {
			panic(err)
		}
		if err := c.AddResource(base+file, doc); err != nil {
			panic(err)
		}
	}
	ref := base + "messages.json#/$defs/" + name
	if name == "Settings" {
		ref = base + "settings.json"
	}
	return &Checker{schema: c.MustCompile(ref)}
}

// Mistakes reports input that does not conform to its schema.
type Mistakes struct{ Places []string }

// Error implements error.
func (m *Mistakes) Error() string { return strings.Join(m.Places, "; ") }

// PlacesOf returns the places of an error of Decode, or the error's text for the whole
// input if it is another one.
func PlacesOf(err error) []string {
	var m *Mistakes
	if errors.As(err, &m) {
		return m.Places
	}
	return []string{"/: " + err.Error()}
}

// Decode validates raw and decodes it into v. The error is a *Mistakes.
func (c *Checker) Decode(raw []byte, v any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return &Mistakes{Places: []string{"/: not JSON: " + syntaxOf(err)}}
	}
	if err := c.schema.Validate(doc); err != nil {
		return &Mistakes{Places: placesOf(err)}
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &Mistakes{Places: []string{"/: " + err.Error()}}
	}
	return nil
}

func syntaxOf(err error) string {
	if err == io.EOF {
		return "empty"
	}
	return err.Error()
}

func placesOf(err error) []string {
	validation, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []string{"/: " + err.Error()}
	}
	var places []string
	collectPlaces(validation, message.NewPrinter(language.English), &places)
	sort.Strings(places)
	return places
}

func collectPlaces(e *jsonschema.ValidationError, p *message.Printer, places *[]string) {
	if len(e.Causes) == 0 {
		*places = append(*places, "/"+strings.Join(e.InstanceLocation, "/")+": "+e.ErrorKind.LocalizedString(p))
		return
	}
	for _, cause := range e.Causes {
		collectPlaces(cause, p, places)
	}
}
