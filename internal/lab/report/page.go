package report

import (
	"html/template"
	"io"

	"github.com/gravitational/trace"
)

// Page is the whole page.
type Page struct {
	Title     string
	Documents []Document
}

type section struct {
	Document
	Plots []template.HTML
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; font-size: 0.85em; }
td { border-bottom: 1px solid #ddd; padding: 0.15em 1em 0.15em 0; }
svg { max-width: 100%; height: auto; }
h2 { margin-top: 2em; border-bottom: 2px solid #888; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Name}}</h2>
{{range .Plots}}<p>{{.}}</p>
{{end}}{{if .Fields}}<details open><summary>values</summary><table>
{{range .Fields}}<tr><td>{{.Path}}</td><td>{{.Value}}</td></tr>
{{end}}</table></details>
{{end}}{{if .Table}}<details open><summary>table</summary><table>
{{range .Table}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></details>
{{end}}{{end}}</body>
</html>
`))

// Write draws the plots and writes the page; it refers to nothing outside.
func (p *Page) Write(output io.Writer) error {
	sections := make([]section, 0, len(p.Documents))
	for _, document := range p.Documents {
		plots, err := document.plots()
		if err != nil {
			return trace.Wrap(err, "%s", document.Name)
		}
		sections = append(sections, section{Document: document, Plots: plots})
	}
	return trace.Wrap(pageTemplate.Execute(output, struct {
		Title    string
		Sections []section
	}{p.Title, sections}))
}
