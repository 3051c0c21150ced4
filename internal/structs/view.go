package structs

// View is the part of the fleet state that gateways use. A controller derives it from its fold of the log.
type View struct {
	Offset int64 `json:"offset"`
	// ConfigVersion is the version of the accepted document.
	ConfigVersion uint64         `json:"configVersion"`
	Teams         []Team         `json:"teams"`
	Keys          []Key          `json:"keys"`
	Pools         []Pool         `json:"pools"`
	Endpoints     []Endpoint     `json:"endpoints"`
	Gateways      []GatewayEntry `json:"gateways"`
	// Unallocated is the number of units of each team that neither a holder nor a job has.
	Unallocated map[string]uint64 `json:"unallocated,omitempty"`
	// SurrenderTargets limits the total rights of each team whose upper limit is about to be lowered.
	SurrenderTargets map[string]uint64 `json:"surrenderTargets,omitempty"`
}

// Endpoint is the back end that runs on one host and serves requests.
type Endpoint struct {
	// Host is the name of the host.
	Host        string `json:"host"`
	Address     string `json:"address"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Epoch is the host epoch, which increases each time the host is confirmed to be back.
	Epoch uint64 `json:"epoch"`
	// Leaving is set while the host has a maintenance grant, is moving or has failed. The endpoint then gets
	// no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// GatewayEntry is the state of one gateway that has joined.
type GatewayEntry struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// Address is the host:port of its peer service.
	Address   string `json:"address"`
	Suspected bool   `json:"suspected,omitempty"`
	// LongestRunMS is the longest run time, in milliseconds, that any request of the incarnation may have.
	LongestRunMS int64 `json:"longestRunMs,omitempty"`
	// SeenOffset is the offset up to which the gateway has confirmed the members of its zone.
	SeenOffset int64 `json:"seenOffset,omitempty"`
	// Rights is the number of units of each team that the gateway holds.
	Rights map[string]uint64 `json:"rights,omitempty"`
	// Wants is the number of units of each team that the gateway claimed but didn't get.
	Wants map[string]uint64 `json:"wants,omitempty"`
	// LastSeq is the highest Envelope.Seq that the fold has read from the incarnation.
	LastSeq uint64 `json:"lastSeq"`
}
