package structs

// ViewDelta turns the view at one offset into a later one. A listed object replaces the one of the
// same name.
type ViewDelta struct {
	// BaseOffset is the offset of the view that the delta applies to. It also applies to a view
	// between BaseOffset and Offset.
	BaseOffset    int64  `json:"baseOffset"`
	Offset        int64  `json:"offset"`
	ConfigVersion uint64 `json:"configVersion"`

	Teams     []Team     `json:"teams,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Pools     []Pool     `json:"pools,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Gateways have no rights here; these are in Rights, one entry for each changed amount, since a
	// claim of one unit would otherwise repeat the rights of up to 160 teams.
	Gateways []GatewayEntry  `json:"gateways,omitempty"`
	Rights   []GatewayRights `json:"rights,omitempty"`
	Units    []TeamUnits     `json:"units,omitempty"`
	// Removed names the objects that are gone; removals come before replacements.
	Removed []RemovedObject `json:"removed,omitempty"`
}

// GatewayRights are the rights of one gateway for one team.
type GatewayRights struct {
	Gateway     string `json:"gateway"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Units       uint64 `json:"units"`
}

// TeamUnits are the entries of one team in the maps of a view; nil is a missing entry.
type TeamUnits struct {
	Team            string  `json:"team"`
	Unallocated     *uint64 `json:"unallocated,omitempty"`
	SurrenderTarget *uint64 `json:"surrenderTarget,omitempty"`
}

// RemovedObject names an object that a view no longer has.
type RemovedObject struct {
	// List is the JSON name of the list.
	List string `json:"list"`
	// Key is the object's name; parts of a longer key are separated by a slash.
	Key string `json:"key"`
}
