package fold

import (
	"crypto/sha256"
	"encoding/binary"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/settings"
	"turmericyoke/internal/structs"
)

const hashBytes = sha256.Size

// Apply folds the record at offset, which must directly follow the last folded offset. If it returns
// an error, the state is unchanged. The error is of kind LogGap for any other offset, and otherwise
// RecordCorrupt or SchemaUnsupported.
func (s *State) Apply(offset int64, raw []byte) (Verdict, error) {
	if offset != s.offset+1 {
		return Verdict{}, fault.New(fault.LogGap, "record at offset %d doesn't follow the last folded record: want offset %d", offset, s.offset+1)
	}
	record, decodeErr := DecodeRecord(raw)
	if decodeErr != nil {
		return Verdict{}, decodeErr
	}
	verdict := s.reduce(envelopeOf(offset, record), record, len(raw))
	s.offset = offset
	s.hash = nextHash(s.hash, offset, raw, verdict)
	s.recentVerdicts.add(verdict)
	if verdict.Author != "" {
		s.operatorVerdicts.add(verdict)
	}
	return verdict, nil
}

// reduce decides on a proposal, applies it if it is accepted, and returns the verdict.
func (s *State) reduce(env structs.Envelope, record *v1.Record, size int) Verdict {
	rejection := s.admit(env, record, size)
	if rejection == nil {
		rejection = s.dispatch(env, record)
	}
	verdict := newVerdict(env, rejection)
	verdict.Payload = payloadFieldName(record)
	verdict.Author, verdict.Subject = describeProposal(record)
	verdict.Version = s.version
	return verdict
}

// maxIncarnationBytes bounds the incarnation, which the state stores for each process lifetime.
const maxIncarnationBytes = 64

// admit rejects a proposal that is malformed, too large, a duplicate, or made by an unknown or suspected
// proposer.
func (s *State) admit(env structs.Envelope, record *v1.Record, size int) *fault.Error {
	if !settings.ValidName(env.Proposer) || len(env.Incarnation) > maxIncarnationBytes {
		return fault.New(fault.RequestInvalid, "proposer %.80q, incarnation %.80q: want a name, and at most %d bytes", env.Proposer, env.Incarnation, maxIncarnationBytes)
	}
	if err := s.Escrow.Admit(env, record.GetJoin() != nil); err != nil {
		return err
	}
	if size > MaxRecordBytes {
		return fault.New(fault.RequestTooLarge, "record of %d bytes: want at most %d", size, MaxRecordBytes)
	}
	return nil
}

// dispatch passes the proposal to the reducer for its payload.
func (s *State) dispatch(env structs.Envelope, record *v1.Record) *fault.Error {
	switch p := record.GetPayload().(type) {
	case *v1.Record_ChangeSet:
		return s.applyChangeSet(p.ChangeSet)
	case *v1.Record_Join, *v1.Record_Leave, *v1.Record_Heartbeat, *v1.Record_Surrender, *v1.Record_Claim,
		*v1.Record_Return, *v1.Record_Transfer, *v1.Record_Suspect, *v1.Record_Reclaim:
		return s.dispatchEscrow(env, record)
	case *v1.Record_Move, *v1.Record_Grant, *v1.Record_HostDown, *v1.Record_HostBack, *v1.Record_WaveControl:
		return s.dispatchInventory(env, record)
	default:
		return s.dispatchJobs(env, record)
	}
}

func (s *State) dispatchEscrow(env structs.Envelope, record *v1.Record) *fault.Error {
	switch p := record.GetPayload().(type) {
	case *v1.Record_Join:
		return s.Escrow.Join(env, p.Join)
	case *v1.Record_Leave:
		return s.Escrow.Leave(env, p.Leave)
	case *v1.Record_Heartbeat:
		return s.Escrow.Heartbeat(env, p.Heartbeat)
	case *v1.Record_Surrender:
		return s.Escrow.Surrender(env, p.Surrender)
	case *v1.Record_Claim:
		return s.Escrow.Claim(env, p.Claim)
	case *v1.Record_Return:
		return s.Escrow.Return(env, p.Return)
	case *v1.Record_Transfer:
		return s.Escrow.Transfer(env, p.Transfer)
	case *v1.Record_Suspect:
		return s.Escrow.Suspect(env, p.Suspect)
	default:
		return s.Escrow.Reclaim(env, record.GetReclaim())
	}
}

func (s *State) dispatchInventory(env structs.Envelope, record *v1.Record) *fault.Error {
	switch p := record.GetPayload().(type) {
	case *v1.Record_Move:
		return s.Inventory.Move(env, p.Move)
	case *v1.Record_Grant:
		return s.Inventory.Grant(env, p.Grant)
	case *v1.Record_HostDown:
		return s.Inventory.HostDown(env, p.HostDown)
	case *v1.Record_HostBack:
		return s.Inventory.HostBack(env, p.HostBack)
	default:
		return s.Inventory.WaveControl(env, record.GetWaveControl())
	}
}

func (s *State) dispatchJobs(env structs.Envelope, record *v1.Record) *fault.Error {
	switch p := record.GetPayload().(type) {
	case *v1.Record_JobSubmit:
		return s.Jobs.Submit(env, p.JobSubmit, s.doc, hostReader{s})
	case *v1.Record_JobStart:
		return s.Jobs.Start(env, p.JobStart, hostReader{s}, s.Escrow)
	case *v1.Record_JobEnd:
		return s.Jobs.End(env, p.JobEnd, s.Escrow)
	case *v1.Record_JobCancel:
		return s.Jobs.Cancel(env, p.JobCancel, s.doc)
	default:
		return fault.New(fault.Internal, "payload %T has no reducer", p)
	}
}

// nextHash returns the running hash after a record. It covers the kind of a rejection but not its
// text, so that processes whose versions word a message differently don't report a diverged state.
func nextHash(previous []byte, offset int64, raw []byte, verdict Verdict) []byte {
	digest := sha256.New()
	digest.Write(previous)
	var header [17]byte
	binary.BigEndian.PutUint64(header[0:], uint64(offset))
	binary.BigEndian.PutUint64(header[8:], uint64(len(raw)))
	if verdict.Accepted {
		header[16] = 1
	}
	digest.Write(header[:])
	digest.Write(raw)
	digest.Write([]byte(verdict.Kind))
	return digest.Sum(nil)
}
