package structs

// Envelope identifies one proposal of the fleet stream.
type Envelope struct {
	// Offset is the record's place in the stream, from 1.
	Offset int64
	// Proposer is the name of the process that wrote the record.
	Proposer string
	// Incarnation identifies one process life of the proposer.
	Incarnation string
	// Seq rises with each proposal of the incarnation, from 1.
	Seq uint64
	// TimeUnixMS is the writer's wall clock in milliseconds, for people only.
	TimeUnixMS int64
}
