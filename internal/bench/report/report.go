// Package report prints benchmark results as tables and saves them as files with
// the command, the seed and the commit that produced them.
package report

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"
)

// Table is one table of a measurement.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Report is the result of one measurement.
type Report struct {
	// Name of the measurement and of its file without ".md".
	Name string
	// Command that reproduces the measurement.
	Command string
	Seed    uint64
	// Notes describe what was measured and how, one paragraph each.
	Notes  []string
	Tables []Table
}

// Add appends a row of values in their default format.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = cell(value)
	}
	t.Rows = append(t.Rows, row)
}

func cell(value any) string {
	switch v := value.(type) {
	case float64:
		return fmt.Sprintf("%.4g", v)
	case time.Duration:
		return v.Round(time.Microsecond).String()
	}
	return fmt.Sprint(value)
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "# %s\n\n", r.Name)
	for _, note := range r.Notes {
		fmt.Fprintf(out, "%s\n\n", note)
	}
	for _, table := range r.Tables {
		fmt.Fprintf(out, "%s\n", table.Title)
		writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(writer, strings.Join(table.Columns, "\t"))
		for _, row := range table.Rows {
			fmt.Fprintln(writer, strings.Join(row, "\t"))
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

// Save writes the report as a Markdown file in directory.
func (r Report) Save(directory string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nCommand: `%s`. Seed: %d. Commit: %s.\n\n", r.Name, r.Command, r.Seed, commit())
	for _, note := range r.Notes {
		fmt.Fprintf(&b, "%s\n\n", note)
	}
	for _, table := range r.Tables {
		fmt.Fprintf(&b, "## %s\n\n| %s |\n|%s\n", table.Title, strings.Join(table.Columns, " | "), strings.Repeat("---|", len(table.Columns)))
		for _, row := range table.Rows {
			fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
		}
		b.WriteString("\n")
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, r.Name+".md"), []byte(b.String()), 0o644)
}

// commit returns the short hash of the checked-out commit, or "unknown".
func commit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
