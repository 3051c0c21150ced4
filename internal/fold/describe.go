package fold

import (
	"fmt"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// payloadFieldName returns the protobuf field name of the record's payload, or "" if it has none.
func payloadFieldName(record *v1.Record) string {
	message := record.ProtoReflect()
	oneof := message.Descriptor().Oneofs().ByName("payload")
	field := message.WhichOneof(oneof)
	if field == nil {
		return ""
	}
	return string(field.Name())
}

// maxDescribedChanges is the number of changes that the description of a change set lists.
const maxDescribedChanges = 5

// describeProposal returns the operator who made a proposal, if any, and a short description of it.
func describeProposal(record *v1.Record) (author, subject string) {
	switch p := record.GetPayload().(type) {
	case *v1.Record_ChangeSet:
		author, subject = p.ChangeSet.GetAuthor(), describeChangeSet(p.ChangeSet)
		if author == "" {
			author = record.GetProposer()
		}
	case *v1.Record_WaveControl:
		author = p.WaveControl.GetAuthor()
		subject = fmt.Sprintf("wave %s %s: %s", p.WaveControl.GetWave(), p.WaveControl.GetAction(), p.WaveControl.GetReason())
	case *v1.Record_Surrender:
		subject = fmt.Sprintf("team %s to %d units", p.Surrender.GetTeam(), p.Surrender.GetTarget())
	case *v1.Record_Suspect:
		author = p.Suspect.GetConfirmedBy()
		subject = "holder " + p.Suspect.GetHolder()
	case *v1.Record_Reclaim:
		subject = "holder " + p.Reclaim.GetHolder()
	case *v1.Record_Move:
		subject = fmt.Sprintf("host %s from %s to %s", p.Move.GetHost(), p.Move.GetFrom(), p.Move.GetTo())
	case *v1.Record_Grant:
		subject = fmt.Sprintf("host %s for wave %s", p.Grant.GetHost(), p.Grant.GetWave())
	case *v1.Record_HostDown:
		subject = "host " + p.HostDown.GetHost()
	case *v1.Record_HostBack:
		subject = "host " + p.HostBack.GetHost()
	default:
		subject = describeJob(record)
	}
	return truncateText(author), truncateText(subject)
}

func describeChangeSet(changeSet *v1.ChangeSet) string {
	subject := changeSet.GetId()
	if changeSet.GetComment() != "" {
		subject += " (" + changeSet.GetComment() + ")"
	}
	for i, change := range changeSet.GetChanges() {
		if i == maxDescribedChanges {
			return fmt.Sprintf("%s and %d more", subject, len(changeSet.GetChanges())-i)
		}
		subject += ", " + change.GetKind() + " " + change.GetName()
	}
	return subject
}

func describeJob(record *v1.Record) string {
	switch p := record.GetPayload().(type) {
	case *v1.Record_JobSubmit:
		return "job " + p.JobSubmit.GetJob()
	case *v1.Record_JobStart:
		return fmt.Sprintf("job %s attempt %d on %s", p.JobStart.GetJob(), p.JobStart.GetAttempt(), p.JobStart.GetWorker())
	case *v1.Record_JobEnd:
		return fmt.Sprintf("job %s attempt %d %s", p.JobEnd.GetJob(), p.JobEnd.GetAttempt(), p.JobEnd.GetOutcome())
	case *v1.Record_JobCancel:
		return "job " + p.JobCancel.GetJob()
	}
	return ""
}
