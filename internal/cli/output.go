package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"turmericyoke/internal/fault"
)

// Values of the flag --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// textTable is the result of a command as a table of text columns.
type textTable struct {
	header []string
	rows   [][]string
}

// writeResult prints value in the format JSON or YAML, or table in the format table. Both hold the same result.
func writeResult(out io.Writer, format string, value any, table textTable) error {
	switch format {
	case formatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formatYAML:
		return writeYAML(out, value)
	case formatTable:
		return writeTable(out, table)
	default:
		return usageError{fmt.Errorf("format %q: want table, json or yaml", format)}
	}
}

// writeYAML encodes value as JSON first, so that both formats have the same field names.
func writeYAML(out io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "result can't be encoded")
	}
	var decoded any
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fault.Wrap(fault.Internal, err, "result can't be encoded")
	}
	return yaml.NewEncoder(out).Encode(decoded)
}

func writeTable(out io.Writer, table textTable) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(table.header, "\t"))
	for _, row := range table.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
