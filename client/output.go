package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// Output formats.
const (
	outputTable = "table"
	// outputText is another name for outputTable.
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(format string) error {
	if format != outputTable && format != outputText && format != outputJSON {
		return errors.Newf("%q is neither table, text nor json", format)
	}
	return nil
}

// table is a result in columns of text.
type table struct {
	header []string
	rows   [][]string
}

// print writes a result in the format that the command line selects: text, or
// value as JSON.
func (a *app) print(cmd *cli.Command, text table, value any) error {
	if cmd.String(flagOutput) == outputJSON {
		return printJSON(a.Stdout, value)
	}
	return text.write(a.Stdout)
}

func (t table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		fmt.Fprintln(columns, strings.TrimRight(strings.Join(row, "\t"), "\t "))
	}
	return columns.Flush()
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// indent formats a spec with line breaks; a spec that isn't JSON is returned
// unchanged.
func indent(spec []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, spec, "", "  ") != nil {
		return string(spec)
	}
	return b.String()
}

// writeRow shows the result of writing one record.
type writeRow struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Result   string `json:"result"`
	Revision uint64 `json:"revision,omitempty"`
}

func writeTable(rows []writeRow) table {
	t := table{header: []string{"KIND", "NAME", "RESULT", "REVISION"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{r.Kind, r.Name, r.Result, formatRevision(r.Revision)})
	}
	return t
}

// formatRevision returns the decimal revision, or the empty string for 0, which
// means none.
func formatRevision(r uint64) string {
	if r == 0 {
		return ""
	}
	return strconv.FormatUint(r, 10)
}

// document is a stored record in the form in which it is printed; the output can
// be applied again.
type document struct {
	Kind string `json:"kind"`
	platformapi.Object
}
