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

// Formats of the flag -o.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table is the plain text form of a result.
type table struct {
	header []string
	rows   [][]string
}

// write prints value as JSON or YAML, or its table.
func write(out io.Writer, format string, value any, text table) error {
	switch format {
	case formatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case formatYAML:
		return writeYAML(out, value)
	case formatTable:
		return writeTable(out, text)
	default:
		return usageError{fmt.Errorf("format %q: want table, json or yaml", format)}
	}
}

// writeYAML goes through JSON, so that both formats have the same field names.
func writeYAML(out io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "result can't be encoded")
	}
	var plain any
	if err := json.Unmarshal(data, &plain); err != nil {
		return fault.Wrap(fault.Internal, err, "result can't be encoded")
	}
	return yaml.NewEncoder(out).Encode(plain)
}

func writeTable(out io.Writer, text table) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(text.header, "\t"))
	for _, row := range text.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
