// Package table prints rows in aligned columns.
package table

import (
	"io"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// columnGap separates two columns.
const columnGap = "  "

// Table is a header with rows.
type Table struct {
	header []string
	rows   [][]string
}

// New returns a table with a column for each title.
func New(titles ...string) *Table { return &Table{header: titles} }

// Add adds a row. An empty or missing cell is shown as a dash.
func (t *Table) Add(cells ...string) {
	row := make([]string, len(t.header))
	for i := range row {
		row[i] = "-"
		if i < len(cells) && cells[i] != "" {
			row[i] = cells[i]
		}
	}
	t.rows = append(t.rows, row)
}

// WriteTo prints the table to w.
func (t *Table) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	widths := t.widths()
	writeRow(&b, widths, t.header)
	for _, row := range t.rows {
		writeRow(&b, widths, row)
	}
	n, err := io.WriteString(w, b.String())
	if err != nil {
		return int64(n), eris.Wrap(err, "print table")
	}
	return int64(n), nil
}

func (t *Table) widths() []int {
	widths := make([]int, len(t.header))
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

func writeRow(b *strings.Builder, widths []int, row []string) {
	var line strings.Builder
	for i, cell := range row {
		line.WriteString(cell)
		line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
		line.WriteString(columnGap)
	}
	b.WriteString(strings.TrimRight(line.String(), " "))
	b.WriteByte('\n')
}
