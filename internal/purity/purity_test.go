// Package purity checks that packages with reducers have no side effects.
package purity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports are the packages that reducers may import. Apart from the
// functions in impureCalls, none performs I/O, reads a clock or starts a
// goroutine.
var allowedImports = map[string]bool{
	"cmp": true, "container/heap": true, "errors": true, "fmt": true,
	"hash/fnv": true, "math": true, "math/bits": true, "math/rand/v2": true,
	"slices": true, "sort": true, "strconv": true, "strings": true, "time": true,
	"maps": true, "iter": true,
	"github.com/cespare/xxhash/v2":            true,
	"github.com/google/btree":                 true,
	"github.com/HdrHistogram/hdrhistogram-go": true,
}

// impureCalls are functions of allowed packages that use a clock, a timer, the
// global random source, standard input or standard output.
var impureCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "NewTimer", "NewTicker", "Tick"},
	"fmt":  {"Print", "Printf", "Println", "Scan", "Scanf", "Scanln"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Uint64N", "Float64", "Perm", "Shuffle", "N", "ExpFloat64", "NormFloat64", "Uint32", "Int32", "Int32N", "Uint32N", "UintN"},
}

// purePackages are the folders of the packages with reducers.
var purePackages = []string{"core", "scheduler", "standin/store", "standin/worker", "internal/ingress/budget"}

const module = "banyanrun.example/banyanrun/"

// allowedModulePackages are the packages of this module that reducers may import.
// They perform no I/O.
var allowedModulePackages = map[string]bool{"core": true, "wire": true}

// TestReducersArePure guards against reducers that depend on anything but their
// events. Such a dependency would silently break replay and the isolation of
// control state.
func TestReducersArePure(t *testing.T) {
	for _, dir := range purePackages {
		t.Run(dir, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
			if err != nil || len(files) < 2 {
				t.Fatalf("found %d files: %v", len(files), err)
			}
			for _, name := range files {
				checkFile(t, name)
			}
		})
	}
}

// checkFile fails the test for every impurity in a file.
func checkFile(t *testing.T, name string) {
	if strings.HasSuffix(name, "_test.go") {
		return
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, finding := range impurities(fset, file) {
		t.Error(finding)
	}
}

// TestImpuritiesAreFound guards against a purity check that misses impurities.
func TestImpuritiesAreFound(t *testing.T) {
	const source = `package p
import ("time"; "sync"; "math/rand/v2")
var c = make(chan int)
func f() { go f(); _ = time.Now(); _ = rand.IntN(3); <-c; c <- 1; select {} }
`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "p.go", source, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(impurities(fset, file)); got != 7 {
		t.Errorf("found %d impurities, want 7: %v", got, impurities(fset, file))
	}
}

// impurities lists the constructs in file that a pure package must not use.
func impurities(fset *token.FileSet, file *ast.File) []string {
	var found []string
	add := func(n ast.Node, what string) {
		found = append(found, fset.Position(n.Pos()).String()+": "+what)
	}
	for _, imp := range file.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		own, isOwn := strings.CutPrefix(path, module)
		if !allowedImports[path] && !(isOwn && allowedModulePackages[own]) {
			add(imp, "imports "+path)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			add(n, "starts a goroutine")
		case *ast.SelectStmt, *ast.SendStmt:
			add(n, "uses a channel")
		case *ast.UnaryExpr:
			if n.Op == token.ARROW {
				add(n, "receives from a channel")
			}
		case *ast.SelectorExpr:
			if pkg, ok := n.X.(*ast.Ident); ok && isImpureCall(pkg.Name, n.Sel.Name) {
				add(n, "calls "+pkg.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return found
}

func isImpureCall(pkg, name string) bool {
	for _, f := range impureCalls[pkg] {
		if f == name {
			return true
		}
	}
	return false
}
