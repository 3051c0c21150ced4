package refusal

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// CopyStore holds the copies of refusals that peers sent to this gateway, one per incarnation. It is safe for
// concurrent use.
type CopyStore struct {
	appenderName string

	mu     sync.Mutex
	copies map[incarnationKey]*heldCopy
}

// incarnationKey identifies one incarnation of a gateway.
type incarnationKey struct {
	gateway     string
	incarnation string
}

// heldCopy is the copy of one incarnation's refusals.
type heldCopy struct {
	// batch is the newest copy.
	batch *v1.RefusalBatch
	// highestTotal is the highest total of refusals that the incarnation has reported.
	highestTotal uint64
}

// NewCopyStore returns an empty store. The name is that of this gateway, which is put into the batches that
// it appends.
func NewCopyStore(name string) *CopyStore {
	return &CopyStore{appenderName: name, copies: map[incarnationKey]*heldCopy{}}
}

// Put replaces the copy of the batch's incarnation. A batch older than the copy has no effect.
func (s *CopyStore) Put(batch *v1.RefusalBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnationKey{batch.GetGateway(), batch.GetIncarnation()}
	held := s.copies[key]
	if held == nil {
		held = &heldCopy{}
		s.copies[key] = held
	}
	if held.batch != nil && batch.GetCumulativeCount() < held.batch.GetCumulativeCount() {
		return
	}
	// An equal total with a higher seq means that the incarnation itself has appended the refusals.
	if held.batch != nil && batch.GetSeq() < held.batch.GetSeq() {
		return
	}
	held.batch = batch
	held.highestTotal = max(held.highestTotal, batch.GetCumulativeCount())
}

// ObserveTotal records the total of refusals that a gateway reported. It has no effect if no copy of that
// gateway is held.
func (s *CopyStore) ObserveTotal(gateway, incarnation string, total uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.copies[incarnationKey{gateway, incarnation}]; held != nil {
		held.highestTotal = max(held.highestTotal, total)
	}
}

// Delete removes the copy of a gateway that left after appending all its refusals.
func (s *CopyStore) Delete(gateway, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, incarnationKey{gateway, incarnation})
}

// Incarnations returns the incarnations of the gateway of which a copy is held, in ascending order.
func (s *CopyStore) Incarnations(gateway string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var incarnations []string
	for key := range s.copies {
		if key.gateway == gateway {
			incarnations = append(incarnations, key.incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// AppendCopy appends the copy of a lost gateway, and then a batch with the number of refusals that the
// gateway reported but that the copy lacks. After an error the caller calls AppendCopy again: a batch that is
// appended twice counts once.
func (s *CopyStore) AppendCopy(ctx context.Context, gateway, incarnation string, appender Appender) error {
	for _, batch := range s.batchesToAppend(incarnationKey{gateway, incarnation}) {
		if err := s.appendBatch(ctx, appender, batch); err != nil {
			return err
		}
	}
	s.Delete(gateway, incarnation)
	return nil
}

func (s *CopyStore) appendBatch(ctx context.Context, appender Appender, batch *v1.RefusalBatch) error {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	return appender.AppendRefusals(ctx, batch)
}

// batchesToAppend returns the batches that AppendCopy appends.
func (s *CopyStore) batchesToAppend(key incarnationKey) []*v1.RefusalBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.copies[key]
	if held == nil {
		return nil
	}
	var batches []*v1.RefusalBatch
	if len(held.batch.GetEntries()) > 0 {
		copiedBatch := proto.CloneOf(held.batch)
		copiedBatch.AppendedBy = s.appenderName
		batches = append(batches, copiedBatch)
	}
	if missing := held.highestTotal - held.batch.GetCumulativeCount(); missing > 0 {
		batches = append(batches, &v1.RefusalBatch{
			Schema: Schema, Gateway: key.gateway, Incarnation: key.incarnation, Seq: held.batch.GetSeq() + 1,
			CumulativeCount: held.highestTotal, MissingCount: missing, AppendedBy: s.appenderName,
		})
	}
	return batches
}
