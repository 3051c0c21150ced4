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

// gatewayAt records refusals of one gateway at a time that the test sets.
type gatewayAt struct {
	t        *testing.T
	log      *logsvc.Log
	recorder *refusal.Recorder
	now      time.Time
}

func newGatewayAt(t *testing.T, log *logsvc.Log) *gatewayAt {
	g := &gatewayAt{t: t, log: log, now: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)}
	g.recorder = refusal.NewRecorder("gw-1", "inc-1", func() time.Time { return g.now })
	return g
}

// refuse appends one refusal as a batch and returns its id.
func (g *gatewayAt) refuse(team string, kind fault.Kind, detail string) string {
	id := g.recorder.Add(refusal.Refusal{Team: team, KeyID: "k-" + team, Pool: "orders", Kind: kind, ConfigVersion: 7, Free: 0, Needed: 1, Detail: detail})
	assert.NilError(g.t, g.recorder.Flush(context.Background(), refusal.LogAppender{Log: g.log}))
	return id
}

// Guards against filters that show another team's, rule's or hour's refusals, and against an
// account that is another refusal's.
func TestRefusalsAreFilteredAndExplained(t *testing.T) {
	log := logsvc.New()
	gateway := newGatewayAt(t, log)
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
	account := b.get("/refusal?id=" + id).text
	assert.Assert(t, strings.Contains(account, "first-detail") && strings.Contains(account, "k-markets"))
	assert.Assert(t, strings.Contains(b.get("/refusal?id=inc-1-99999999").text, "isn't on the record"))
	assert.Equal(t, b.get("/refusals?from=yesterday").status, http.StatusBadRequest)
}

// Guards against a page without the refusals that were read before an outage of the log, and
// against a reader that stops at records that the log dropped meanwhile.
func TestRefusalsOutlastTheLog(t *testing.T) {
	log := logsvc.New()
	gateway := newGatewayAt(t, log)
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

// Guards against a first page that reads a whole long record: the work of one page is bounded.
func TestRefusalsReadOnAPageAtATime(t *testing.T) {
	log := logsvc.New()
	empty := make([][]byte, maxBacklog+10)
	for i := range empty {
		// An empty message is a batch without entries.
		empty[i] = []byte{}
	}
	appendAll(t, log, empty)
	held := newRefusals(log)
	for _, want := range []int64{maxRecordsPerPage, 2 * maxRecordsPerPage} {
		assert.NilError(t, held.use(t.Context(), func(_ *refusal.Reader, place refusal.Place) {
			assert.Equal(t, place.Skipped, int64(10))
			assert.Equal(t, place.After-place.Skipped, want)
		}))
	}
}

func appendAll(t *testing.T, log *logsvc.Log, records [][]byte) {
	t.Helper()
	const most = 256
	for len(records) > 0 {
		count := min(most, len(records))
		_, err := log.Append(t.Context(), &v1.AppendRequest{Stream: refusal.Stream, Records: records[:count]})
		assert.NilError(t, err)
		records = records[count:]
	}
}
