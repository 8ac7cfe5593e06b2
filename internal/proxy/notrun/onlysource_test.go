package notrun_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// refusing lists the files that may refuse a request which they have sent to nobody.
var refusing = []string{
	"internal/agent/inbound.go",
	"internal/proxy/drain.go",
	"internal/proxy/inbound/handler.go",
	"internal/proxy/inbound/request.go",
	"internal/proxy/outbound/attempt.go",
	"internal/proxy/outbound/call.go",
	"internal/proxy/outbound/handler.go",
	"internal/sidecar/egress/call.go",
	"internal/sidecar/egress/choose.go",
	"internal/sidecar/egress/freshness.go",
	"internal/sidecar/egress/notice.go",
	"internal/sidecar/egress/quota.go",
	"internal/sidecar/egress/tenant.go",
	"internal/sidecar/ingress/arrival.go",
	"internal/sidecar/ingress/transfer.go",
	"internal/sidecar/ingress/trial.go",
	"internal/sidecar/ingress/warmup.go",
}

// observing lists the files that record what a send proves.
var observing = []string{
	"internal/proxy/forward/exchange.go",
	"internal/proxy/inbound/request.go",
	"internal/sidecar/egress/sendonce.go",
	"internal/sidecar/ingress/exchange.go",
}

// deciding lists the directories whose code decides on outcomes.
var deciding = []string{"internal/agent", "internal/proxy", "internal/sidecar"}

// isSelected reports whether the expression is the named identifier of the package.
func isSelected(expression ast.Expr, qualifier, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	found, ok := selector.X.(*ast.Ident)
	return ok && found.Name == qualifier
}

// renamesPackage reports whether an import gives the packages of outcomes and evidence another name.
func renamesPackage(spec *ast.ImportSpec) bool {
	path := strings.Trim(spec.Path.Value, `"`)
	return spec.Name != nil && (strings.HasSuffix(path, "/proxy/outcome") || strings.HasSuffix(path, "/proxy/notrun"))
}

// madeOutcomes returns where the file makes an outcome of its own instead of comparing one. A file
// that may refuse also makes refusals, one that may observe also evidence of sends.
func madeOutcomes(file *ast.File, mayRefuse, mayObserve bool) []token.Pos {
	compared := map[ast.Expr]bool{}
	var made []token.Pos
	ast.Inspect(file, func(node ast.Node) bool {
		switch found := node.(type) {
		case *ast.ImportSpec:
			if renamesPackage(found) {
				made = append(made, found.Pos())
			}
		case *ast.BinaryExpr:
			if found.Op == token.EQL || found.Op == token.NEQ {
				compared[found.X], compared[found.Y] = true, true
			}
		case *ast.CaseClause:
			for _, expression := range found.List {
				compared[expression] = true
			}
		case *ast.CallExpr:
			if isSelected(found.Fun, "outcome", "Outcome") {
				made = append(made, found.Pos())
			}
		case *ast.BasicLit:
			if found.Value == `"not-run"` {
				made = append(made, found.Pos())
			}
		case *ast.SelectorExpr:
			refuses := isSelected(found, "outcome", "Refusal") || isSelected(found, "notrun", "NotSent")
			observes := isSelected(found, "notrun", "Send") || isSelected(found, "notrun", "Reply")
			switch {
			case observes && !mayObserve:
				made = append(made, found.Pos())
			case isSelected(found, "outcome", "NotRun") && !compared[found]:
				made = append(made, found.Pos())
			case refuses && !mayRefuse || isSelected(found, "notrun", "Reported"):
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
	read := 0
	for _, directory := range deciding {
		err = filepath.WalkDir(filepath.Join(root, directory), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil || strings.HasPrefix(name, "internal/proxy/outcome/") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			read++
			for _, position := range madeOutcomes(file, slices.Contains(refusing, name), slices.Contains(observing, name)) {
				t.Errorf("%s makes an outcome without evidence", files.Position(position))
			}
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(read).To(BeNumerically(">", len(refusing)))
}
