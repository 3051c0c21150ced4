package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// inputType determines how a field is displayed and how its value is parsed.
type inputType string

// Types of form fields.
const (
	inputText     inputType = "text"
	inputInteger  inputType = "integer"
	inputDecimal  inputType = "decimal"
	inputBool     inputType = "bool"
	inputDuration inputType = "duration"
	inputLabels   inputType = "labels"
	inputZone     inputType = "zone"
	inputPool     inputType = "pool"
	inputTeam     inputType = "team"
)

// fieldSpec describes one field of a form.
type fieldSpec struct {
	// Path is the JSON name of the field. For a field of a nested object, the name of that object and a dot
	// precede it.
	Path  string
	Label string
	Type  inputType
	Help  string
}

// formSpec describes the form of one kind of object.
type formSpec struct {
	Kind   string
	Title  string
	Fields []fieldSpec
}

// nameField returns the path of the field that holds the name or id of the object.
func (f formSpec) nameField() string {
	if f.Kind == document.KindKey {
		return "id"
	}
	return "name"
}

var formSpecs = []formSpec{
	{document.KindPool, "Pool", []fieldSpec{
		{"name", "Name", inputText, "lower-case letters, digits, dots, hyphens"},
		{"spare", "Spare pool", inputBool, "lends hosts first"},
		{"minAvailable", "Hosts that stay available", inputInteger, "a planned stop never goes below this"},
		{"maxUnavailablePerZone", "Unavailable hosts in one zone, at most", inputInteger, "0: no bound"},
		{"idempotencyKeys", "Accept Idempotency-Key", inputBool, "such requests may be retried"},
		{"openTeam", "Open to all, counted for team", inputTeam, "empty: a key is needed"},
		{"maxRunTime", "Longest permitted run", inputDuration, "such as 60s"},
	}},
	{document.KindHost, "Host", []fieldSpec{
		{"name", "Name", inputText, ""},
		{"zone", "Availability zone", inputZone, ""},
		{"rack", "Rack", inputText, ""},
		{"pool", "Pool at the start", inputPool, ""},
		{"pinned", "Keep in this pool", inputBool, "the planner doesn't move it"},
		{"address", "Endpoint address", inputText, "IP:port"},
		{"slots", "Slots", inputInteger, ""},
		{"connections", "Connections", inputInteger, ""},
		{"capacity.cpuMilli", "Processor (thousandths of a core)", inputInteger, ""},
		{"capacity.memoryMiB", "Memory (MiB)", inputInteger, ""},
		{"capacity.accelerators", "Accelerators", inputInteger, ""},
		{"labels", "Labels", inputLabels, "name=value, separated by commas"},
	}},
	{document.KindTeam, "Team", []fieldSpec{
		{"name", "Name", inputText, ""},
		{"share", "Share", inputInteger, "weight when a pool is full"},
		{"upperLimit", "Upper limit (units running in the fleet)", inputInteger, ""},
	}},
	{document.KindKey, "Key", []fieldSpec{
		{"id", "Id", inputText, ""},
		{"team", "Team", inputTeam, ""},
		{"hash", "SHA-256 of the secret", inputText, "leave empty to make a new secret"},
		{"failClosedAfter", "Refuse when configuration is older than", inputDuration, "0s: never"},
	}},
	{document.KindWave, "Maintenance wave", []fieldSpec{
		{"name", "Name", inputText, ""},
		{"pool", "Pool", inputPool, ""},
		{"selector", "Host labels", inputLabels, "empty: all hosts of the pool"},
		{"maxParallel", "Stopped hosts at a time", inputInteger, ""},
		{"maxPerRack", "Stopped hosts in one rack", inputInteger, ""},
		{"canaryCount", "Hosts that go first", inputInteger, ""},
		{"pauseAfterFailures", "Pause after failures", inputInteger, ""},
		{"hostTimeout", "A stopped host is back within", inputDuration, "such as 15m"},
	}},
	{document.KindZone, "Availability zone", []fieldSpec{
		{"name", "Name", inputText, ""},
		{"region", "Region", inputText, ""},
	}},
	{document.KindPolicy, "Planner policy", []fieldSpec{
		{"bufferCost", "Cost of an idle host for one hour", inputDecimal, ""},
		{"moveCost", "Cost of a move", inputDecimal, ""},
		{"shareNearness", "Cost of distance from share", inputDecimal, ""},
		{"targetUtilisation", "Target utilisation", inputDecimal, "above 0, at most 1"},
		{"failureBuffer", "Hosts held for random failures", inputInteger, "in each pool"},
		{"rackBuffer", "Hold hosts for the largest rack", inputBool, ""},
		{"moveDwell", "A need lasts at least", inputDuration, ""},
		{"minStay", "A moved host stays at least", inputDuration, ""},
	}},
}

// formSpecFor returns the form for objects of a kind.
func formSpecFor(kind string) (formSpec, bool) {
	for _, spec := range formSpecs {
		if spec.Kind == kind {
			return spec, true
		}
	}
	return formSpec{}, false
}

// fieldView is one field with its value, for the templates.
type fieldView struct {
	fieldSpec
	Value   string
	Options []string
}

// newFieldViews returns the fields of the form with the values of the object in body. An empty body gives empty
// fields.
func newFieldViews(spec formSpec, body []byte, doc *structs.Document) ([]fieldView, error) {
	var object map[string]json.RawMessage
	if len(body) > 0 {
		if err := json.Unmarshal(body, &object); err != nil {
			return nil, fault.Wrap(fault.DocumentInvalid, err, "object of kind %s can't be shown", spec.Kind)
		}
	}
	views := make([]fieldView, 0, len(spec.Fields))
	for _, field := range spec.Fields {
		view := fieldView{fieldSpec: field, Options: optionsFor(field.Type, doc)}
		view.Value = formatValue(field, valueAt(object, field.Path))
		views = append(views, view)
	}
	return views, nil
}

// valueAt returns the encoded value at path, or nil if the object has none.
func valueAt(object map[string]json.RawMessage, path string) json.RawMessage {
	head, rest, nested := strings.Cut(path, ".")
	if !nested {
		return object[head]
	}
	var nestedObject map[string]json.RawMessage
	if json.Unmarshal(object[head], &nestedObject) != nil {
		return nil
	}
	return valueAt(nestedObject, rest)
}

func formatValue(field fieldSpec, raw json.RawMessage) string {
	if raw == nil {
		return ""
	}
	if field.Type == inputLabels {
		return formatLabels(raw)
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

func formatLabels(raw json.RawMessage) string {
	var labels map[string]string
	if json.Unmarshal(raw, &labels) != nil {
		return ""
	}
	pairs := make([]string, 0, len(labels))
	for name, value := range labels {
		pairs = append(pairs, name+"="+value)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ", ")
}

// optionsFor returns the names in the document that a field of the input type may have as its value.
func optionsFor(input inputType, doc *structs.Document) []string {
	var names []string
	switch input {
	case inputZone:
		for _, zone := range doc.Zones {
			names = append(names, zone.Name)
		}
	case inputPool:
		for _, pool := range doc.Pools {
			names = append(names, pool.Name)
		}
	case inputTeam:
		for _, team := range doc.Teams {
			names = append(names, team.Name)
		}
	}
	return names
}

// encodeForm returns the JSON encoding of the object in the submitted form, and an error for each field that
// can't be parsed. fieldText returns the submitted text of the field at path.
func encodeForm(spec formSpec, fieldText func(path string) string) (body []byte, problems []error) {
	object := newJSONObject()
	nestedObjects := map[string]*jsonObject{}
	for _, field := range spec.Fields {
		encoded, err := encodeValue(field, strings.TrimSpace(fieldText(field.Path)))
		if err != nil {
			problems = append(problems, err)
			continue
		}
		if encoded == nil {
			continue
		}
		head, rest, isNested := strings.Cut(field.Path, ".")
		if !isNested {
			object.add(head, encoded)
			continue
		}
		if nestedObjects[head] == nil {
			nestedObjects[head] = newJSONObject()
		}
		nestedObjects[head].add(rest, encoded)
	}
	for _, head := range []string{"capacity"} {
		if nestedObjects[head] != nil {
			object.add(head, nestedObjects[head].bytes())
		}
	}
	return object.bytes(), problems
}

// encodeValue returns the JSON encoding of a submitted value. It is nil if the object is encoded without the
// field.
func encodeValue(field fieldSpec, text string) ([]byte, error) {
	invalidValue := func(want string) error {
		return fault.Invalid(fault.DocumentInvalid, field.Path, "%q: want %s", text, want)
	}
	switch field.Type {
	case inputBool:
		return []byte(strconv.FormatBool(text != "")), nil
	case inputInteger:
		if text == "" {
			text = "0"
		}
		if _, err := strconv.ParseInt(text, 10, 64); err != nil {
			return nil, invalidValue("a whole number")
		}
		return []byte(text), nil
	case inputDecimal:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, invalidValue("a number")
		}
		return json.Marshal(number)
	case inputLabels:
		return encodeLabels(field, text)
	default:
		if text == "" {
			return nil, nil
		}
		return json.Marshal(text)
	}
}

func encodeLabels(field fieldSpec, text string) ([]byte, error) {
	if text == "" {
		return nil, nil
	}
	labels := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || name == "" {
			return nil, fault.Invalid(fault.DocumentInvalid, field.Path, "%q: want name=value", pair)
		}
		labels[name] = value
	}
	return json.Marshal(labels)
}

// jsonObject encodes a JSON object whose fields are in the order in which they were added.
type jsonObject struct{ buffer bytes.Buffer }

func newJSONObject() *jsonObject { return &jsonObject{} }

func (o *jsonObject) add(name string, value []byte) {
	if o.buffer.Len() > 0 {
		o.buffer.WriteByte(',')
	}
	fmt.Fprintf(&o.buffer, "%q:%s", name, value)
}

func (o *jsonObject) bytes() []byte {
	return append(append([]byte{'{'}, o.buffer.Bytes()...), '}')
}
