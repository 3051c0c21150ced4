package structs

// ViewDelta holds the changes that turn a view into a later one. Each listed object replaces the object of
// the same name.
type ViewDelta struct {
	// The delta applies to every view from BaseOffset up to Offset, and turns it into the view at Offset.
	BaseOffset    int64  `json:"baseOffset"`
	Offset        int64  `json:"offset"`
	ConfigVersion uint64 `json:"configVersion"`

	Teams     []Team     `json:"teams,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Gateways are listed without their rights. Rights has one entry for each changed amount instead, since a
	// claim of one unit would otherwise repeat the rights of up to 160 teams.
	Gateways []GatewayEntry  `json:"gateways,omitempty"`
	Rights   []GatewayRights `json:"rights,omitempty"`
	Units    []TeamUnits     `json:"units,omitempty"`
	// Removed lists the removed objects. Removals are applied before replacements.
	Removed []RemovedObject `json:"removed,omitempty"`
}

// GatewayRights holds the number of rights that one gateway holds for one team.
type GatewayRights struct {
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Units       uint64 `json:"units"`
}

// TeamUnits holds one team's entries in the View maps Unallocated and SurrenderTargets; nil stands for a
// missing entry.
type TeamUnits struct {
	Team            string  `json:"team"`
	Unallocated     *uint64 `json:"unallocated,omitempty"`
	SurrenderTarget *uint64 `json:"surrenderTarget,omitempty"`
}

// RemovedObject identifies an object that is no longer in the view.
type RemovedObject struct {
	// List is the JSON name of the list that held the object.
	List string `json:"list"`
	// Key is the object's name. The parts of a compound key are separated by slashes.
	Key string `json:"key"`
}
