package console

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/refusal"
	"turmericyoke/internal/standin/controllersvc"
	"turmericyoke/internal/standin/logsvc"
)

// fakeGateway records refusals of one gateway. The test sets the time.
type fakeGateway struct {
	t        *testing.T
	log      *logsvc.Log
	recorder *refusal.Recorder
	now      time.Time
}

func newFakeGateway(t *testing.T, log *logsvc.Log) *fakeGateway {
	g := &fakeGateway{t: t, log: log, now: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)}
	g.recorder = refusal.NewRecorder("gw-1", "inc-1", func() time.Time { return g.now })
	return g
}

// refuse appends a batch with one refusal to the log and returns the refusal's id.
func (g *fakeGateway) refuse(team string, kind fault.Kind, detail string) string {
	id := g.recorder.Add(refusal.Refusal{Team: team, KeyID: "k-" + team, Pool: "orders", Kind: kind, ConfigVersion: 7, Free: 0, Needed: 1, Detail: detail})
	assert.NilError(g.t, g.recorder.Flush(context.Background(), refusal.LogAppender{Log: g.log}))
	return id
}

// Guards against filters that show refusals of another team, rule or hour, and against the explanation of
// another refusal than the requested one.
func TestRefusalsAreFilteredAndExplained(t *testing.T) {
	log := logsvc.New()
	gateway := newFakeGateway(t, log)
	b := newBrowserWithLog(t, controllersvc.New(1, testDocument()), log)
	b.signIn()
	id := gateway.refuse("markets", fault.TeamLimit, "first-detail")
	gateway.refuse("markets", fault.QueueFull, "second-detail")
	assert.Assert(t, strings.Contains(b.get("/refusals").text, "2 refusals in 2 entries"))
	gateway.now = gateway.now.Add(time.Hour)
	gateway.refuse("bills", fault.TeamLimit, "third-detail")

	for query, want := range map[string]string{
		"team=markets&rule=team_limit": "first-detail",
		"rule=queue_full":              "second-detail",
		"from=2026-03-01T10:30":        "third-detail",
		"to=2026-03-01T10:30&team=":    "first-detail second-detail",
	} {
		text := b.get("/refusals?" + query).text
		for _, detail := range []string{"first-detail", "second-detail", "third-detail"} {
			assert.Equal(t, strings.Contains(text, detail), strings.Contains(want, detail), "%s: %s", query, detail)
		}
	}
	explanation := b.get("/refusal?id=" + id).text
	assert.Assert(t, strings.Contains(explanation, "first-detail") && strings.Contains(explanation, "k-markets"))
	assert.Assert(t, strings.Contains(b.get("/refusal?id=inc-1-99999999").text, "isn't on the record"))
	assert.Equal(t, b.get("/refusals?from=yesterday").status, http.StatusBadRequest)
}

// Guards against a page that lacks the refusals read before an outage of the log, and against a follower that
// stops at a gap when the log has dropped records that it hadn't read.
func TestRefusalsShownDuringLogOutage(t *testing.T) {
	log := logsvc.New()
	gateway := newFakeGateway(t, log)
	b := newBrowserWithLog(t, controllersvc.New(1, testDocument()), log)
	b.signIn()
	gateway.refuse("markets", fault.TeamLimit, "kept-detail")
	b.get("/refusals")

	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = true })
	text := b.get("/refusals").text
	assert.Assert(t, strings.Contains(text, "kept-detail") && strings.Contains(text, "may be missing"))

	log.UpdateFaults(func(f *logsvc.Faults) { f.Outage = false })
	gateway.refuse("markets", fault.TeamLimit, "dropped-detail")
	gateway.refuse("markets", fault.QueueFull, "late-detail")
	log.Trim(refusal.Stream, 2)
	text = b.get("/refusals").text
	assert.Assert(t, strings.Contains(text, "late-detail") && strings.Contains(text, "1 records were dropped"))
}

// Guards against a first page that reads the whole of a long stream: the records read for a page are bounded.
func TestRefusalsReadIsBoundedPerPage(t *testing.T) {
	log := logsvc.New()
	emptyBatches := make([][]byte, maxBacklogRecords+10)
	for i := range emptyBatches {
		// An empty record decodes as a batch without entries.
		emptyBatches[i] = []byte{}
	}
	appendAll(t, log, emptyBatches)
	follower := newRefusalsFollower(log)
	for _, want := range []int64{maxRecordsPerPage, 2 * maxRecordsPerPage} {
		assert.NilError(t, follower.readAndView(t.Context(), func(_ *refusal.Reader, position refusal.Cursor) {
			assert.Equal(t, position.Skipped, int64(10))
			assert.Equal(t, position.After-position.Skipped, want)
		}))
	}
}

func appendAll(t *testing.T, log *logsvc.Log, records [][]byte) {
	t.Helper()
	const maxRecordsPerAppend = 256
	for len(records) > 0 {
		count := min(maxRecordsPerAppend, len(records))
		_, err := log.Append(t.Context(), &v1.AppendRequest{Stream: refusal.Stream, Records: records[:count]})
		assert.NilError(t, err)
		records = records[count:]
	}
}
