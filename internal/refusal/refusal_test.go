package refusal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	_ "turmericyoke/internal/fixedseed"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/telemetry"
)

var errNoResponse = errors.New("no response")

// fakeAppender is an Appender whose appends can fail before or after they take effect.
type fakeAppender struct {
	batches []*v1.RefusalBatch
	// mode decides the result of appends: 0 for success, 1 for an append whose response is lost, 2 for a
	// failure.
	mode int
}

func (a *fakeAppender) AppendRefusals(_ context.Context, batch *v1.RefusalBatch) error {
	if a.mode != 2 {
		a.batches = append(a.batches, proto.CloneOf(batch))
	}
	if a.mode != 0 {
		return errNoResponse
	}
	return nil
}

// newReader returns a reader with all appended batches.
func (a *fakeAppender) newReader(t assert.TestingT) *Reader {
	reader := NewReader()
	for _, batch := range a.batches {
		if err := reader.Add(batch); err != nil {
			assert.NilError(t, err)
		}
	}
	return reader
}

// referenceModel records every refusal separately, as the reference for the counts of a Reader.
type referenceModel struct {
	ids []string
	// groups has the team and the rule of each id.
	groups map[string][2]string
	total  uint64
}

func (m *referenceModel) add(id string, refusal Refusal) {
	m.ids = append(m.ids, id)
	m.groups[id] = [2]string{refusal.Team, string(refusal.Kind)}
	m.total++
}

// Guards against refusals that are lost, counted twice or can't be explained after duplicate appends, lost
// responses, a live gateway taken for lost, and a lost gateway whose copy a peer appends.
func TestCountsAgreeWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		appender := &fakeAppender{}
		recorder := NewRecorder("gw-1", "inc-1", func() time.Time { return time.Unix(1, 0) })
		copyStore := NewCopyStore("gw-2")
		model := &referenceModel{groups: map[string][2]string{}}
		copiedTotal, observedTotal := uint64(0), uint64(0)
		keyCount := rapid.SampledFrom([]int{1, 3, 6000}).Draw(t, "keys")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			appender.mode = rapid.IntRange(0, 2).Draw(t, "mode")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				addRefusals(t, recorder, model, keyCount)
			case 1:
				_ = recorder.Flush(context.Background(), appender)
			case 2:
				copyStore.Put(recorder.CopyForPeer())
				copiedTotal = model.total
			case 3:
				if copiedTotal > 0 {
					copyStore.ObserveTotal("gw-1", "inc-1", recorder.Total())
					observedTotal = model.total
				}
			case 4:
				// The peer takes the gateway for lost, although it may still be running.
				_ = copyStore.AppendCopy(context.Background(), "gw-1", "inc-1", appender)
				copyStore.Put(recorder.CopyForPeer())
				copiedTotal = model.total
			}
			assert.Assert(t, recorder.EntryCount() <= MaxEntries)
		}
		appender.mode = 0
		if rapid.Bool().Draw(t, "gatewayLost") {
			checkAfterGatewayLoss(t, appender, copyStore, model, max(copiedTotal, observedTotal))
			return
		}
		assert.NilError(t, recorder.flushAll(context.Background(), appender))
		checkAllCounted(t, appender.newReader(t), model)
	})
}

// addRefusals adds a drawn number of refusals to the recorder and the model.
func addRefusals(t *rapid.T, recorder *Recorder, model *referenceModel, keyCount int) {
	for i := range rapid.SampledFrom([]int{1, 20, 20, 20, 5000}).Draw(t, "count") {
		refusal := Refusal{
			Team: fmt.Sprintf("team-%d", i%7), KeyID: fmt.Sprintf("key-%d", i%keyCount), Pool: "tallies",
			Kind: []fault.Kind{fault.TeamLimit, fault.QueueFull}[i%2], ConfigVersion: 1,
		}
		model.add(recorder.Add(refusal), refusal)
	}
}

// checkAfterGatewayLoss checks that all refusals which the gateway appended or reported to the peer are
// counted or declared missing.
func checkAfterGatewayLoss(t *rapid.T, appender *fakeAppender, copyStore *CopyStore, model *referenceModel, reportedTotal uint64) {
	assert.NilError(t, copyStore.AppendCopy(context.Background(), "gw-1", "inc-1", appender))
	totals := appender.newReader(t).Totals()["inc-1"]
	appended := uint64(0)
	for _, batch := range appender.batches {
		if batch.GetAppendedBy() == "gw-1" {
			appended = max(appended, batch.GetCumulativeCount())
		}
	}
	assert.Equal(t, totals.Counted+totals.Missing, max(reportedTotal, appended))
	assert.Assert(t, totals.Counted >= appended)
	assert.Assert(t, totals.Counted <= model.total)
}

// checkAllCounted checks that every refusal is counted once and, for a sample, that an entry of the refusal's
// team and rule explains it.
func checkAllCounted(t *rapid.T, reader *Reader, model *referenceModel) {
	totals := reader.Totals()["inc-1"]
	assert.Equal(t, totals.Counted, model.total)
	assert.Equal(t, totals.Missing, uint64(0))
	refusalsByGroup := map[[2]string]uint64{}
	for _, id := range model.ids {
		refusalsByGroup[model.groups[id]]++
	}
	for group, want := range refusalsByGroup {
		got := uint64(0)
		for _, match := range reader.Find(Filter{Team: group[0], Rule: group[1]}) {
			got += match.Entry.GetCount()
		}
		assert.Equal(t, got, want, "%v", group)
	}
	for i := 0; i < len(model.ids); i += 1 + len(model.ids)/10 {
		explanation, err := reader.Explain(model.ids[i])
		assert.Assert(t, err == nil)
		explained := false
		for _, entry := range explanation.Entries {
			explained = explained || [2]string{entry.GetTeam(), entry.GetRule()} == model.groups[model.ids[i]]
		}
		assert.Assert(t, explained, "no entry of the right team and rule explains refusal %s: got %v", model.ids[i], explanation.Entries)
	}
}

// Guards against unlimited memory and lost counts while the log is down for an hour.
func TestLogOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		appender := &fakeAppender{mode: 2}
		recorder := NewRecorder("gw-1", "inc-1", time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- recorder.Run(ctx, appender, telemetry.NewLogger(t.Output(), "gateway", "a")) }()
		total, peakEntries := uint64(0), 0
		for second := range 3600 {
			for i := range 160 {
				recorder.Add(Refusal{Team: fmt.Sprintf("team-%d", i), KeyID: fmt.Sprintf("key-%d", second%40), Pool: "clips", Kind: fault.QueueFull})
				total++
			}
			peakEntries = max(peakEntries, recorder.EntryCount())
			time.Sleep(time.Second)
		}
		synctest.Wait()
		appender.mode = 0
		cancel()
		assert.NilError(t, <-done)
		assert.Assert(t, peakEntries <= MaxEntries, "%d entries", peakEntries)
		assert.Equal(t, appender.newReader(t).Totals()["inc-1"], Totals{Counted: total})
	})
}

// Guards against a text of a caller that makes a batch unencodable, so that no later refusal is appended either.
func TestInvalidTextsAreAppended(t *testing.T) {
	log := logsvc.New()
	recorder := NewRecorder("a", "a1", time.Now)
	recorder.Add(Refusal{Team: "t\xff", KeyID: "\xc3", Pool: "clips\xfe", Kind: fault.PoolUnknown, Detail: "pool clips\xfe isn't known"})
	assert.NilError(t, recorder.Flush(t.Context(), LogAppender{Log: log}))
	recorder.Add(Refusal{Team: "u", Kind: fault.QueueFull})
	assert.NilError(t, recorder.Flush(t.Context(), LogAppender{Log: log}))
	response, err := log.Read(t.Context(), &v1.ReadRequest{Stream: Stream, MaxRecords: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(response.GetRecords()), 2)
}

// Checks that a gateway that stops while the log is down says how many refusals it couldn't append, and that
// this isn't an error of the gateway.
func TestStopDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := NewRecorder("a", "a1", time.Now)
		recorder.Add(Refusal{Team: "t", Kind: fault.QueueFull})
		ctx, cancel := context.WithCancel(t.Context())
		var out bytes.Buffer
		done := make(chan error)
		go func() { done <- recorder.Run(ctx, &fakeAppender{mode: 2}, telemetry.NewLogger(&out, "gateway", "a")) }()
		time.Sleep(2 * FlushInterval)
		recorder.Add(Refusal{Team: "u", Kind: fault.QueueFull})
		cancel()
		assert.NilError(t, <-done)
		assert.Assert(t, cmp.Contains(out.String(), "refusals_left"))
		assert.Assert(t, cmp.Contains(out.String(), "refusals=2"))
	})
}

// BenchmarkAdd measures the rate of merging refusals for three numbers of teams, and the size of a batch.
func BenchmarkAdd(b *testing.B) {
	for _, teams := range []int{16, 160, 1600} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			appender := &fakeAppender{}
			recorder := NewRecorder("gw-1", "inc-1", time.Now)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%04d", i)
			}
			refuse := func(i int) {
				recorder.Add(Refusal{Team: names[i%teams], KeyID: "key-1", Pool: "clips", Kind: fault.QueueFull, ConfigVersion: 7, Detail: "team is furthest above its share"})
			}
			i := 0
			for b.Loop() {
				refuse(i)
				i++
			}
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "refusals/s")
			_ = recorder.Flush(context.Background(), appender)
			// This batch is that of a second in which each team has ten refusals.
			for i := range 10 * teams {
				refuse(i)
			}
			_ = recorder.Flush(context.Background(), appender)
			b.ReportMetric(float64(proto.Size(appender.batches[1])), "bytes/batch")
			b.ReportMetric(float64(len(appender.batches[1].GetEntries())), "entries/batch")
		})
	}
}
