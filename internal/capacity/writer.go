package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/structs"
)

// incarnation is used by all processes, each of which is in its first lifetime. It is as long as a real one,
// so that records have their real size.
const incarnation = "0198c0ffee00-0123456789"

// operatorName names the proposer of change sets, which joins as a controller.
const operatorName = "operator"

// recordWriter appends the proposals of all gateways and operators, with names and sizes as in a real
// fleet. It folds the log itself, to make proposals that are accepted.
type recordWriter struct {
	log     *logsvc.Log
	state   *fold.State
	rng     *rand.Rand
	lastSeq map[string]uint64
	// holdsUnits is true for gateways whose last call of claimOrReturn was a claim.
	holdsUnits     map[string]bool
	gateways       []string
	bytesWritten   int64
	recordsWritten int64
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%03d", i) }

func newRecordWriter(ctx context.Context, log *logsvc.Log, size fleetdoc.Size, entryHosts int, seed uint64) (*recordWriter, error) {
	w := &recordWriter{
		log: log, state: fold.New(), rng: rand.New(rand.NewPCG(seed, 0)),
		lastSeq: map[string]uint64{}, holdsUnits: map[string]bool{},
	}
	if err := w.join(ctx, operatorName, "zone-00", v1.Role_ROLE_CONTROLLER); err != nil {
		return nil, err
	}
	if err := w.publish(ctx, fleetdoc.New(size)); err != nil {
		return nil, err
	}
	for i := range entryHosts {
		if err := w.join(ctx, gatewayName(i), zoneName(i, size.Zones), v1.Role_ROLE_GATEWAY); err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, gatewayName(i))
		if err := w.claimInitialUnits(ctx, gatewayName(i)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *recordWriter) join(ctx context.Context, name, zone string, role v1.Role) error {
	join := &v1.Join{Zone: zone, Address: "10.200.100.100:7002", Role: role}
	return w.propose(ctx, name, &v1.Record{Payload: &v1.Record_Join{Join: join}})
}

// claimInitialUnits claims one unit from each of about a quarter of the teams for a gateway, as in a fleet
// with traffic.
func (w *recordWriter) claimInitialUnits(ctx context.Context, name string) error {
	const oneTeamIn = 4
	claim := &v1.Claim{}
	for _, team := range w.state.Document().Teams {
		if w.rng.IntN(oneTeamIn) == 0 {
			claim.Units = append(claim.Units, &v1.Units{Team: team.Name, Units: 1})
		}
	}
	if len(claim.Units) == 0 {
		return nil
	}
	return w.propose(ctx, name, &v1.Record{Payload: &v1.Record_Claim{Claim: claim}})
}

// propose appends one record in the name of a process and fails if the fold rejects it.
func (w *recordWriter) propose(ctx context.Context, name string, record *v1.Record) error {
	w.lastSeq[name]++
	record.Schema, record.Proposer, record.Incarnation, record.Seq = fold.Schema, name, incarnation, w.lastSeq[name]
	record.TimeUnixMs = 1_790_000_000_000
	encoded, err := fold.EncodeRecord(record)
	if err != nil {
		return err
	}
	if _, err := w.log.Append(ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{encoded}}); err != nil {
		return err
	}
	w.recordsWritten++
	w.bytesWritten += int64(len(encoded))
	verdict, err := w.catchUp(ctx)
	if err == nil && !verdict.Accepted {
		err = fmt.Errorf("the fold rejected a record of %s: %s: %s", name, verdict.Kind, verdict.Detail)
	}
	return err
}

// catchUp folds all records that the log has and returns the verdict on the last one.
func (w *recordWriter) catchUp(ctx context.Context) (fold.Verdict, error) {
	var last fold.Verdict
	for {
		response, err := w.log.Read(ctx, &v1.ReadRequest{Stream: fold.FleetStream, AfterOffset: w.state.Offset(), MaxRecords: 1024})
		if err != nil || len(response.GetRecords()) == 0 {
			return last, err
		}
		for _, record := range response.GetRecords() {
			verdict, err := w.state.Apply(record.GetOffset(), record.GetData())
			if err != nil {
				return last, err
			}
			last = verdict
		}
	}
}

// publish proposes the document as the next version.
func (w *recordWriter) publish(ctx context.Context, next *structs.Document) error {
	record, err := w.changeSet(next)
	if err != nil {
		return err
	}
	return w.propose(ctx, operatorName, record)
}

func (w *recordWriter) changeSet(next *structs.Document) (*v1.Record, error) {
	id := fmt.Sprintf("change-%06d", w.state.Version())
	changes, err := document.NewChangeSet(id, "operator-1", "", w.state.Version(), w.state.Document(), next)
	return &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: changes}}, err
}

// nextDocument returns the current document with the limit of a random team raised by one unit.
func (w *recordWriter) nextDocument() *structs.Document {
	doc := *w.state.Document()
	doc.Teams = append([]structs.Team(nil), doc.Teams...)
	doc.Teams[w.rng.IntN(len(doc.Teams))].UpperLimit++
	return &doc
}

// appendChange publishes the next document.
func (w *recordWriter) appendChange(ctx context.Context) error {
	return w.publish(ctx, w.nextDocument())
}

// claimOrReturn makes a random gateway claim one unit of each of the last two teams, or return them if
// it has them.
func (w *recordWriter) claimOrReturn(ctx context.Context) error {
	name := w.gateways[w.rng.IntN(len(w.gateways))]
	teams := w.state.Document().Teams
	units := []*v1.Units{{Team: teams[len(teams)-1].Name, Units: 1}, {Team: teams[len(teams)-2].Name, Units: 1}}
	record := &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: units}}}
	if w.holdsUnits[name] {
		record.Payload = &v1.Record_Return{Return: &v1.Return{Units: units}}
	}
	w.holdsUnits[name] = !w.holdsUnits[name]
	return w.propose(ctx, name, record)
}
