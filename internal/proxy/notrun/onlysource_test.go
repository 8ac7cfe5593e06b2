package notrun_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const outcomePackage = `"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"`

// importsOutcome reports whether the file imports package outcome.
func importsOutcome(file *ast.File) bool {
	for _, imported := range file.Imports {
		if imported.Path.Value == outcomePackage {
			return true
		}
	}
	return false
}

// isOutcome reports whether the expression is the named identifier of package outcome.
func isOutcome(expression ast.Expr, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	qualifier, ok := selector.X.(*ast.Ident)
	return ok && qualifier.Name == "outcome"
}

// madeOutcomes returns where the file makes an outcome of its own instead of comparing one.
func madeOutcomes(file *ast.File) []token.Pos {
	compared := map[ast.Expr]bool{}
	var made []token.Pos
	ast.Inspect(file, func(node ast.Node) bool {
		switch found := node.(type) {
		case *ast.BinaryExpr:
			if found.Op == token.EQL || found.Op == token.NEQ {
				compared[found.X], compared[found.Y] = true, true
			}
		case *ast.CaseClause:
			for _, expression := range found.List {
				compared[expression] = true
			}
		case *ast.CallExpr:
			if isOutcome(found.Fun, "Outcome") {
				made = append(made, found.Pos())
			}
		case *ast.SelectorExpr:
			if isOutcome(found, "NotRun") && !compared[found] {
				made = append(made, found.Pos())
			}
		}
		return true
	})
	return made
}

// TestNotRunRestsOnEvidence guards against code that says "not run" by itself: outcome.Of derives it
// from evidence, which only this package creates.
func TestNotRunRestsOnEvidence(t *testing.T) {
	g := NewWithT(t)
	root, err := filepath.Abs("../../..")
	g.Expect(err).NotTo(HaveOccurred())
	importing := 0
	err = filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil || !importsOutcome(file) {
			return err
		}
		importing++
		for _, position := range madeOutcomes(file) {
			t.Errorf("%s makes an outcome without evidence", files.Position(position))
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(importing).To(BeNumerically(">", 10), "the files that use package outcome")
}
