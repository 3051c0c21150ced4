package audit

import (
	"bytes"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/standin/logsvc"
)

// exportRecords appends records to the fleet stream, drops those up to trimOffset and returns an export.
func exportRecords(t *testing.T, recordCount, trimOffset int64) string {
	t.Helper()
	log := logsvc.New()
	for i := range recordCount {
		data, err := proto.Marshal(&v1.Record{Proposer: "controller-1", Seq: uint64(i + 1)})
		assert.NilError(t, err)
		_, err = log.Append(t.Context(), &v1.AppendRequest{Stream: "fleet", Records: [][]byte{data}})
		assert.NilError(t, err)
	}
	log.Trim("fleet", trimOffset)
	var out bytes.Buffer
	_, _, err := Export(t.Context(), log, "fleet", 0, &out)
	assert.NilError(t, err)
	return out.String()
}

// Guards against an export that doesn't state how many records had expired.
func TestExportReportsExpiredRecords(t *testing.T) {
	report, err := Verify(strings.NewReader(exportRecords(t, 10, 5)))
	assert.NilError(t, err)
	assert.Equal(t, int64(report.Lines)+report.Missing, int64(10))
	assert.Equal(t, report.LastOffset, int64(10))
	assert.Assert(t, report.Missing > 0)
}

// Guards against a line that was changed, removed or added after the export.
func TestVerifyDetectsTampering(t *testing.T) {
	export := exportRecords(t, 6, 0)
	lines := strings.SplitAfter(strings.TrimSuffix(export, "\n"), "\n")
	changed := strings.Replace(export, lines[2], strings.Replace(lines[2], `"offset":3`, `"offset":4`, 1), 1)
	removed := strings.Replace(export, lines[3], "", 1)
	added := strings.Replace(export, lines[4], lines[4]+lines[4], 1)
	for _, tampered := range []string{changed, removed, added} {
		_, err := Verify(strings.NewReader(tampered))
		assert.ErrorContains(t, err, "record_corrupt")
	}
}
