package jobs

import (
	"crypto/sha256"
	"encoding/hex"

	"google.golang.org/protobuf/proto"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// digestBytes is the length to which digests are truncated. It is short since a digest is only compared with
// that of a submission with the same id.
const digestBytes = 8

// CheckSubmit returns an error if the submission is invalid by itself or under the document. It doesn't
// depend on other jobs and the state of hosts.
func CheckSubmit(p *v1.JobSubmit, doc *structs.Document) *fault.Error {
	if p.GetJob() == "" || len(p.GetJob()) > MaxIDBytes {
		return fault.Invalid(fault.RequestInvalid, "job", "id of %d bytes: want 1 to %d", len(p.GetJob()), MaxIDBytes)
	}
	if p.GetUnits() < 1 {
		return fault.Invalid(fault.RequestInvalid, "units", "%d: want at least 1", p.GetUnits())
	}
	if p.GetClass() < v1.JobClass_JOB_CLASS_BATCH || p.GetClass() > v1.JobClass_JOB_CLASS_URGENT {
		return fault.Invalid(fault.RequestInvalid, "class", "%s: want batch, standard or urgent", p.GetClass())
	}
	if ResourcesOf(p.GetResources()) == (structs.Resources{}) {
		return fault.Invalid(fault.RequestInvalid, "resources", "want an amount above 0")
	}
	if len(p.GetSpec()) > MaxSpecBytes {
		return fault.Invalid(fault.RequestTooLarge, "spec", "%d bytes: want at most %d", len(p.GetSpec()), MaxSpecBytes)
	}
	if findPool(doc, p.GetPool()) == nil {
		return fault.New(fault.PoolUnknown, "pool %s isn't declared", p.GetPool())
	}
	if err := checkKey(p.GetKeyId(), p.GetTeam(), p.GetPool(), doc); err != nil {
		return err
	}
	return checkTeamLimit(p, doc)
}

// checkTeamLimit returns an error if the job alone exceeds the upper limit of its team.
func checkTeamLimit(p *v1.JobSubmit, doc *structs.Document) *fault.Error {
	for i := range doc.Teams {
		team := &doc.Teams[i]
		if team.Name != p.GetTeam() {
			continue
		}
		if p.GetUnits() > team.UpperLimit {
			return fault.New(fault.TeamLimit, "job %s needs %d units: team %s may have %d", p.GetJob(), p.GetUnits(), team.Name, team.UpperLimit)
		}
		return nil
	}
	return fault.New(fault.KeyUnknown, "team %s isn't declared", p.GetTeam())
}

// checkKey returns an error unless the key belongs to the team. The open team of a pool needs no key there.
func checkKey(keyID, team, pool string, doc *structs.Document) *fault.Error {
	if keyID == "" {
		if declared := findPool(doc, pool); declared != nil && declared.OpenTeam != "" && declared.OpenTeam == team {
			return nil
		}
		return fault.New(fault.KeyUnknown, "team %s needs a key in pool %s", team, pool)
	}
	for i := range doc.Keys {
		if doc.Keys[i].ID == keyID && doc.Keys[i].Team == team {
			return nil
		}
	}
	return fault.New(fault.KeyUnknown, "key %s isn't a key of team %s", keyID, team)
}

// findPool returns the declared pool, or nil if there is none.
func findPool(doc *structs.Document, name string) *structs.Pool {
	for i := range doc.Pools {
		if doc.Pools[i].Name == name {
			return &doc.Pools[i]
		}
	}
	return nil
}

// ResourcesOf converts resources from their record format.
func ResourcesOf(r *v1.Resources) structs.Resources {
	return structs.Resources{CPUMilli: r.GetCpuMilli(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}

// Fits reports whether size doesn't exceed capacity in any resource.
func Fits(size, capacity structs.Resources) bool {
	return size.CPUMilli <= capacity.CPUMilli && size.MemoryMiB <= capacity.MemoryMiB && size.Accelerators <= capacity.Accelerators
}

// fitsAny reports whether size fits at least one of the capacities.
func fitsAny(size structs.Resources, capacities []structs.Resources) bool {
	for _, capacity := range capacities {
		if Fits(size, capacity) {
			return true
		}
	}
	return false
}

// Digest identifies the content of a submission, except its id and key. A repeated submission with another key
// of the team is thus recognised as the same job.
func Digest(p *v1.JobSubmit) string {
	content := &v1.JobSubmit{Team: p.GetTeam(), Pool: p.GetPool(), Units: p.GetUnits(), Class: p.GetClass(), Resources: p.GetResources()}
	// Deterministic encoding may differ between processes only for messages with maps, and this one has none.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return ""
	}
	digest := sha256.New()
	digest.Write(data)
	digest.Write(p.GetSpec())
	return hex.EncodeToString(digest.Sum(nil)[:digestBytes])
}
