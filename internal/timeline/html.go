package timeline

import (
	_ "embed" // for the template of the page
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageData is the data of the page template.
type pageData struct {
	Entries []Entry
}

// writeHTML writes a self-contained page with one lane per host.
func writeHTML(w io.Writer, entries []Entry) error {
	if entries == nil {
		entries = []Entry{}
	}
	return pageTemplate.Execute(w, pageData{Entries: entries})
}
