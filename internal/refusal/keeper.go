package refusal

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// CopyStore holds the copies that peers left with this gateway, one for each incarnation.
type CopyStore struct {
	name string

	mu   sync.Mutex
	held map[owner]*copyState
}

// owner is one process lifetime of a gateway.
type owner struct {
	gateway     string
	incarnation string
}

type copyState struct {
	// batch is the newest copy.
	batch *v1.RefusalBatch
	// heard is the highest total that the owner reported.
	heard uint64
}

// NewCopyStore returns a keeper that appends under the name.
func NewCopyStore(name string) *CopyStore {
	return &CopyStore{name: name, held: map[owner]*copyState{}}
}

// Put replaces the copy of the batch's incarnation. An exchange that arrives late changes nothing.
func (k *CopyStore) Put(batch *v1.RefusalBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	from := owner{batch.GetGateway(), batch.GetIncarnation()}
	state := k.held[from]
	if state == nil {
		state = &copyState{}
		k.held[from] = state
	}
	if state.batch != nil && batch.GetCumulativeCount() < state.batch.GetCumulativeCount() {
		return
	}
	// An equal total with a later seq is the news that the refusals were appended.
	if state.batch != nil && batch.GetSeq() < state.batch.GetSeq() {
		return
	}
	state.batch = batch
	state.heard = max(state.heard, batch.GetCumulativeCount())
}

// ObserveTotal notes the total that a gateway reported. It matters only for a gateway whose copy is held.
func (k *CopyStore) ObserveTotal(gateway, incarnation string, total uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if state := k.held[owner{gateway, incarnation}]; state != nil {
		state.heard = max(state.heard, total)
	}
}

// Delete drops the copy of a gateway that left after appending all its refusals.
func (k *CopyStore) Delete(gateway, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, owner{gateway, incarnation})
}

// AppendCopy appends the copy of a lost gateway, and then the loss of refusals that the gateway
// reported but that the copy doesn't have. After an error it is called again: a batch that was
// appended twice counts once.
func (k *CopyStore) AppendCopy(ctx context.Context, gateway, incarnation string, appender Appender) error {
	for _, batch := range k.handoverBatches(owner{gateway, incarnation}) {
		if err := k.append(ctx, appender, batch); err != nil {
			return err
		}
	}
	k.Delete(gateway, incarnation)
	return nil
}

func (k *CopyStore) append(ctx context.Context, appender Appender, batch *v1.RefusalBatch) error {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return appender.AppendRefusals(ctx, batch)
}

func (k *CopyStore) handoverBatches(from owner) []*v1.RefusalBatch {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := k.held[from]
	if state == nil {
		return nil
	}
	var batches []*v1.RefusalBatch
	if len(state.batch.GetEntries()) > 0 {
		copied := proto.CloneOf(state.batch)
		copied.AppendedBy = k.name
		batches = append(batches, copied)
	}
	if lost := state.heard - state.batch.GetCumulativeCount(); lost > 0 {
		batches = append(batches, &v1.RefusalBatch{
			Schema: Schema, Gateway: from.gateway, Incarnation: from.incarnation, Seq: state.batch.GetSeq() + 1,
			CumulativeCount: state.heard, MissingCount: lost, AppendedBy: k.name,
		})
	}
	return batches
}
