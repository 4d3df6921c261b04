package revision_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// bareAllowed are the directories that know the store's own numbers, and the decoders of messages
// between boxes.
var bareAllowed = []string{"revision/", "platform/store/", "standin/", "edge/peers.go", "canary/orders/order.go"}

var versionName = regexp.MustCompile(`(?i)version$|^ver$`)

// bareVersions returns the positions in a file where a version is an int64, or where a number is
// made a revision.
func bareVersions(files *token.FileSet, f *ast.File) (at []string) {
	add := func(n ast.Node) { at = append(at, files.Position(n.Pos()).String()) }
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Field:
			if isBareVersion(n) {
				add(n)
			}
		case *ast.CallExpr:
			if makesRevision(n) {
				add(n)
			}
		}
		return true
	})
	return at
}

func isBareVersion(f *ast.Field) bool {
	kind, ok := f.Type.(*ast.Ident)
	for _, name := range f.Names {
		if ok && kind.Name == "int64" && versionName.MatchString(name.Name) {
			return true
		}
	}
	return false
}

// makesRevision reports whether a call makes a revision of something but a constant.
func makesRevision(c *ast.CallExpr) bool {
	f, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) == 0 || f.Sel.Name != "Revision" && f.Sel.Name != "New" {
		return false
	}
	pkg, ok := f.X.(*ast.Ident)
	_, constant := c.Args[0].(*ast.BasicLit)
	return ok && pkg.Name == "revision" && !constant
}

func isAllowed(path string) bool {
	for _, prefix := range bareAllowed {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return strings.HasSuffix(path, "_test.go")
}

// TestNoBareVersions guards against versions that are compared without their era: the store gives
// them out again after a restore.
func TestNoBareVersions(t *testing.T) {
	is := is.New(t)
	files, read := token.NewFileSet(), 0
	var bare []string
	is.NoErr(filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		name := strings.TrimPrefix(filepath.ToSlash(path), "../")
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || isAllowed(name) {
			return err
		}
		f, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		read++
		bare = append(bare, bareVersions(files, f)...)
		return nil
	}))
	is.True(read > 100) // the whole tree
	for _, at := range bare {
		t.Error("a version of the store without its era:", at)
	}
}

// TestBareVersions checks what is taken for a bare version.
func TestBareVersions(t *testing.T) {
	tests := map[string]struct {
		code string
		want int
	}{
		"field":      {"type a struct{ Version int64 }", 1},
		"parameter":  {"func f(orderVersion int64, n int64) {}", 1},
		"result":     {"func f() (version int64) { return 0 }", 1},
		"conversion": {"var a = revision.Revision(b.Version)", 1},
		"new":        {"var a = revision.New(era, b)", 1},
		"constant":   {"var a = revision.Revision(0)", 0},
		"revision":   {"type a struct{ Version revision.Revision; Age int64 }", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, "a.go", "package a\n"+tt.code, 0)
			is.NoErr(err)
			is.Equal(len(bareVersions(files, f)), tt.want)
		})
	}
}
