package record

import (
	"fmt"
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Schema versions of pools. Version 2 adds the desired state of the targets.
const (
	PoolV1 = 1
	PoolV2 = 2
)

// Limits on the desired state of a pool.
const (
	MaxDesiredModels   = 16
	MaxDesiredAdapters = 64
)

type poolSpec struct {
	SchemaVersion int               `json:"schema_version"`
	Kind          catalog.PoolKind  `json:"kind"`
	Objective     catalog.Objective `json:"objective"`
	Slots         int               `json:"slots"`
	ChecksFencing bool              `json:"checks_fencing"`
	EjectionFloor float64           `json:"ejection_floor"`
	Desired       *desiredSpec      `json:"desired,omitempty"`
}

type desiredSpec struct {
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
}

func (d *specDecoder) pool() catalog.Item {
	d.checkRecordName()
	version, ok := d.schemaVersion(PoolV1, PoolV2)
	if !ok {
		return nil
	}
	p := &catalog.Pool{Name: d.name, Revision: d.revision}
	p.Kind = catalog.PoolKind(d.root.oneOf("kind",
		string(catalog.KindEngine), string(catalog.KindEncoder), string(catalog.KindRetriever),
		string(catalog.KindReranker), string(catalog.KindService)))
	p.Objective = catalog.Objective(d.root.oneOf("objective",
		string(catalog.ObjectiveAttainment), string(catalog.ObjectiveCost)))
	p.Slots, _ = d.root.integer("slots", 1, MaxSlots, true)
	p.ChecksFencing = d.root.boolean("checks_fencing", true)
	p.EjectionFloor = d.root.number("ejection_floor", 0, 1, true)
	if version >= PoolV2 {
		p.Desired = d.desired(p.Kind)
	}
	d.root.reportUnknown()
	return p
}

// desired decodes the optional desired state. Only engines accept orders: on
// another kind of pool the desired state would never be reached.
func (d *specDecoder) desired(kind catalog.PoolKind) *catalog.DesiredState {
	v, ok := d.root.get("desired", valueObject, false)
	if !ok {
		return nil
	}
	if kind != "" && kind != catalog.KindEngine {
		d.root.fault("desired", "only pools of kind %s take orders", catalog.KindEngine)
	}
	fields := newObject(d.list, "desired", v)
	desired := &catalog.DesiredState{
		Models:   fields.modelNames("models", MaxDesiredModels),
		Adapters: fields.modelNames("adapters", MaxDesiredAdapters),
		Version:  fields.modelName("version"),
		Role:     fields.modelName("role"),
	}
	fields.reportUnknown()
	return desired
}

// modelNames decodes an optional list of at most limit names of models or
// adapters.
func (o *object) modelNames(name string, limit int) []string {
	v, ok := o.get(name, valueArray, false)
	if !ok {
		return nil
	}
	if len(v.items) > limit {
		o.fault(name, "holds %d names, more than %d", len(v.items), limit)
		return nil
	}
	var names []string
	for i, item := range v.items {
		field := fmt.Sprintf("%s[%d]", o.field(name), i)
		switch {
		case item.kind != valueString:
			o.list.add(item.offset, field, "must be a string, not %s", item.kind)
		case !isModelName(item.text):
			o.list.add(item.offset, field, "%s is not a model name of at most %d letters, digits and ._/-",
				quote(item.text), MaxNameLength)
		case slices.Contains(names, item.text):
			o.list.add(item.offset, field, "%s stands twice", quote(item.text))
		default:
			names = append(names, item.text)
		}
	}
	return names
}

// isModelName reports whether text is a valid name of a model, adapter, version
// or role.
func isModelName(text string) bool {
	return len(text) <= MaxNameLength && modelPattern.MatchString(text)
}

// encodePool uses schema version 1 unless the pool needs version 2, so that
// instances of an earlier release can read pools without a desired state.
func encodePool(p *catalog.Pool) poolSpec {
	spec := poolSpec{SchemaVersion: PoolV1, Kind: p.Kind, Objective: p.Objective, Slots: p.Slots,
		ChecksFencing: p.ChecksFencing, EjectionFloor: p.EjectionFloor}
	if d := p.Desired; d != nil {
		spec.SchemaVersion = PoolV2
		spec.Desired = &desiredSpec{Models: d.Models, Adapters: d.Adapters, Version: d.Version, Role: d.Role}
	}
	return spec
}
