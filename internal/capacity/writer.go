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

// incarnation has the length of a real one; all writers are in their first lifetime.
const incarnation = "0198c0ffee00-0123456789"

// operator is the proposer of change sets; it joins as a controller.
const operator = "operator"

// writer proposes as all gateways and operators do, with the names and sizes of real records. It
// follows the log itself, so that its proposals are accepted.
type writer struct {
	log   *logsvc.Log
	state *fold.State
	rng   *rand.Rand
	seqs  map[string]uint64
	// held is true for gateways that have the unit that they claim and return in turn.
	held     map[string]bool
	gateways []string
	bytes    int64
	records  int64
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%03d", i) }

func newWriter(ctx context.Context, log *logsvc.Log, size fleetdoc.Size, entryHosts int, seed uint64) (*writer, error) {
	w := &writer{
		log: log, state: fold.New(), rng: rand.New(rand.NewPCG(seed, 0)),
		seqs: map[string]uint64{}, held: map[string]bool{},
	}
	if err := w.join(ctx, operator, "zone-00", v1.Role_ROLE_CONTROLLER); err != nil {
		return nil, err
	}
	if err := w.publish(ctx, fleetdoc.New(size)); err != nil {
		return nil, err
	}
	for i := range entryHosts {
		if err := w.join(ctx, gatewayName(i), zoneOf(i, size.Zones), v1.Role_ROLE_GATEWAY); err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, gatewayName(i))
		if err := w.claimSome(ctx, gatewayName(i)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *writer) join(ctx context.Context, name, zone string, role v1.Role) error {
	join := &v1.Join{Zone: zone, Address: "10.200.100.100:7002", Role: role}
	return w.propose(ctx, name, &v1.Record{Payload: &v1.Record_Join{Join: join}})
}

// claimSome gives a gateway rights of a quarter of the teams, as in a fleet with traffic.
func (w *writer) claimSome(ctx context.Context, name string) error {
	const part = 4
	claim := &v1.Claim{}
	for _, team := range w.state.Document().Teams {
		if w.rng.IntN(part) == 0 {
			claim.Units = append(claim.Units, &v1.Units{Team: team.Name, Units: 1})
		}
	}
	if len(claim.Units) == 0 {
		return nil
	}
	return w.propose(ctx, name, &v1.Record{Payload: &v1.Record_Claim{Claim: claim}})
}

// propose appends one record and fails when the fold doesn't accept it.
func (w *writer) propose(ctx context.Context, name string, record *v1.Record) error {
	w.seqs[name]++
	record.Schema, record.Proposer, record.Incarnation, record.Seq = fold.Schema, name, incarnation, w.seqs[name]
	record.TimeUnixMs = 1_790_000_000_000
	raw, err := fold.EncodeRecord(record)
	if err != nil {
		return err
	}
	if _, err := w.log.Append(ctx, &v1.AppendRequest{Stream: fold.FleetStream, Records: [][]byte{raw}}); err != nil {
		return err
	}
	w.records++
	w.bytes += int64(len(raw))
	verdict, err := w.catchUp(ctx)
	if err == nil && !verdict.Accepted {
		err = fmt.Errorf("record of %s is rejected: %s %s", name, verdict.Kind, verdict.Detail)
	}
	return err
}

// catchUp folds what others appended, and returns the last verdict.
func (w *writer) catchUp(ctx context.Context) (fold.Verdict, error) {
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

func (w *writer) publish(ctx context.Context, next *structs.Document) error {
	record, err := w.changeSet(next)
	if err != nil {
		return err
	}
	return w.propose(ctx, operator, record)
}

func (w *writer) changeSet(next *structs.Document) (*v1.Record, error) {
	id := fmt.Sprintf("change-%06d", w.state.Version())
	set, err := document.NewChangeSet(id, "operator-1", "", w.state.Version(), w.state.Document(), next)
	return &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: set}}, err
}

// nextDocument raises the limit of one team by one unit.
func (w *writer) nextDocument() *structs.Document {
	doc := *w.state.Document()
	doc.Teams = append([]structs.Team(nil), doc.Teams...)
	doc.Teams[w.rng.IntN(len(doc.Teams))].UpperLimit++
	return &doc
}

func (w *writer) change(ctx context.Context) error { return w.publish(ctx, w.nextDocument()) }

// claim makes the next gateway claim two teams' units, or return them.
func (w *writer) claim(ctx context.Context) error {
	name := w.gateways[w.rng.IntN(len(w.gateways))]
	teams := w.state.Document().Teams
	units := []*v1.Units{{Team: teams[len(teams)-1].Name, Units: 1}, {Team: teams[len(teams)-2].Name, Units: 1}}
	record := &v1.Record{Payload: &v1.Record_Claim{Claim: &v1.Claim{Units: units}}}
	if w.held[name] {
		record.Payload = &v1.Record_Return{Return: &v1.Return{Units: units}}
	}
	w.held[name] = !w.held[name]
	return w.propose(ctx, name, record)
}
