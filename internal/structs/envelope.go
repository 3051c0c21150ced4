package structs

// Envelope identifies one proposal in the log's fleet stream.
type Envelope struct {
	// Offset is the position of the record in the stream, counted from 1.
	Offset int64
	// Proposer is the name of the process that wrote the record.
	Proposer string
	// Incarnation identifies one process lifetime of the proposer.
	Incarnation string
	// Seq numbers the proposals of the incarnation in increasing order, from 1.
	Seq uint64
	// TimeUnixMS is the writer's wall clock in Unix milliseconds. It is used only for display and metrics.
	TimeUnixMS int64
}
