package refusal

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// CopyStore holds the copies that peers left with this gateway, one for each incarnation.
type CopyStore struct {
	appenderName string

	mu     sync.Mutex
	copies map[incarnationKey]*heldCopy
}

// incarnationKey is one process lifetime of a gateway.
type incarnationKey struct {
	gateway     string
	incarnation string
}

type heldCopy struct {
	// batch is the newest copy.
	batch *v1.RefusalBatch
	// highestTotal is the highest total that the owner reported.
	highestTotal uint64
}

// NewCopyStore returns a keeper that appends under the name.
func NewCopyStore(name string) *CopyStore {
	return &CopyStore{appenderName: name, copies: map[incarnationKey]*heldCopy{}}
}

// Put replaces the copy of the batch's incarnation. An exchange that arrives late changes nothing.
func (k *CopyStore) Put(batch *v1.RefusalBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	from := incarnationKey{batch.GetGateway(), batch.GetIncarnation()}
	state := k.copies[from]
	if state == nil {
		state = &heldCopy{}
		k.copies[from] = state
	}
	if state.batch != nil && batch.GetCumulativeCount() < state.batch.GetCumulativeCount() {
		return
	}
	// An equal total with a later seq is the news that the refusals were appended.
	if state.batch != nil && batch.GetSeq() < state.batch.GetSeq() {
		return
	}
	state.batch = batch
	state.highestTotal = max(state.highestTotal, batch.GetCumulativeCount())
}

// ObserveTotal notes the total that a gateway reported. It matters only for a gateway whose copy is held.
func (k *CopyStore) ObserveTotal(gateway, incarnation string, total uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if state := k.copies[incarnationKey{gateway, incarnation}]; state != nil {
		state.highestTotal = max(state.highestTotal, total)
	}
}

// Delete drops the copy of a gateway that left after appending all its refusals.
func (k *CopyStore) Delete(gateway, incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.copies, incarnationKey{gateway, incarnation})
}

// AppendCopy appends the copy of a lost gateway, and then the loss of refusals that the gateway
// reported but that the copy doesn't have. After an error it is called again: a batch that was
// appended twice counts once.
func (k *CopyStore) AppendCopy(ctx context.Context, gateway, incarnation string, appender Appender) error {
	for _, batch := range k.batchesToAppend(incarnationKey{gateway, incarnation}) {
		if err := k.appendBatch(ctx, appender, batch); err != nil {
			return err
		}
	}
	k.Delete(gateway, incarnation)
	return nil
}

func (k *CopyStore) appendBatch(ctx context.Context, appender Appender, batch *v1.RefusalBatch) error {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return appender.AppendRefusals(ctx, batch)
}

func (k *CopyStore) batchesToAppend(from incarnationKey) []*v1.RefusalBatch {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := k.copies[from]
	if state == nil {
		return nil
	}
	var batches []*v1.RefusalBatch
	if len(state.batch.GetEntries()) > 0 {
		copied := proto.CloneOf(state.batch)
		copied.AppendedBy = k.appenderName
		batches = append(batches, copied)
	}
	if lost := state.highestTotal - state.batch.GetCumulativeCount(); lost > 0 {
		batches = append(batches, &v1.RefusalBatch{
			Schema: Schema, Gateway: from.gateway, Incarnation: from.incarnation, Seq: state.batch.GetSeq() + 1,
			CumulativeCount: state.highestTotal, MissingCount: lost, AppendedBy: k.appenderName,
		})
	}
	return batches
}
