package record

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Schema versions of pipelines.
const (
	// PipelineV1 runs its stages one after another.
	PipelineV1 = 1
	// PipelineV2 adds a dependency graph of stages, resumable streams and
	// adapters.
	PipelineV2 = 2
)

// PipelineObjectName returns the name of a pipeline's object in the store. It
// contains the schema version, so that both versions can exist side by side.
func PipelineObjectName(key catalog.PipelineKey) string {
	return key.Name + ".v" + strconv.Itoa(key.SchemaVersion)
}

// unresolvedStage is a decoded stage whose predecessors are not yet resolved
// from names to indexes.
type unresolvedStage struct {
	stage        catalog.Stage
	predecessors []string
	obj          *object
}

func (d *specDecoder) pipeline() catalog.Item {
	version, ok := d.schemaVersion(PipelineV1, PipelineV2)
	if !ok {
		return nil
	}
	p := &catalog.Pipeline{Revision: d.revision}
	p.Key = catalog.PipelineKey{Name: d.root.name("pipeline"), SchemaVersion: version}
	if want := PipelineObjectName(p.Key); p.Key.Name != "" && want != d.name {
		d.list.faults = append(d.list.faults, Fault{Field: "name", Reason: fmt.Sprintf(
			"%s does not agree with the spec, whose record is named %s", quote(d.name), quote(want))})
	}
	p.Stages = d.stages(version)
	p.Deadlines = d.deadlines(p.CriticalPath())
	p.MaxAttempts = d.maxAttempts()
	d.root.reportUnknown()
	return p
}

func (d *specDecoder) maxAttempts() int {
	if !d.root.has("max_attempts") {
		d.root.consumed["max_attempts"] = true
		return DefaultMaxAttempts
	}
	n, _ := d.root.integer("max_attempts", 1, MaxAttempts, true)
	return n
}

func (d *specDecoder) stages(version int) []catalog.Stage {
	v, ok := d.root.get("stages", valueArray, true)
	if !ok {
		return nil
	}
	if len(v.items) < 1 || len(v.items) > MaxStages {
		d.root.fault("stages", "must hold 1 to %d stages, not %d", MaxStages, len(v.items))
		return nil
	}
	unresolved := make([]unresolvedStage, len(v.items))
	for i, item := range v.items {
		unresolved[i] = d.stage(i, item, version)
	}
	if !d.stageNamesUnique(unresolved) {
		return nil
	}
	if version == PipelineV1 {
		return chainStages(unresolved)
	}
	return d.sortStages(unresolved)
}

func (d *specDecoder) stage(i int, v value, version int) unresolvedStage {
	o := newObject(d.list, fmt.Sprintf("stages[%d]", i), v)
	s := catalog.Stage{
		Name:             o.name("name"),
		Pool:             o.name("pool"),
		ExpectedDuration: o.milliseconds("expected_ms"),
		Repeatable:       o.boolean("repeatable", true),
		Model:            o.modelName("model"),
	}
	s.MaxTokens, _ = o.integer("max_tokens", 0, MaxTokens, false)
	u := unresolvedStage{obj: o}
	if version >= PipelineV2 {
		s.Resumable = o.boolean("resumable", false)
		s.Adapter = o.modelName("adapter")
		u.predecessors = o.predecessors()
	}
	o.reportUnknown()
	u.stage = s
	return u
}

// predecessors decodes the optional names of the stages that a stage waits for.
func (o *object) predecessors() []string {
	v, ok := o.get("after", valueArray, false)
	if !ok {
		return nil
	}
	if len(v.items) > MaxStages {
		o.fault("after", "holds more than %d stages", MaxStages)
		return nil
	}
	var names []string
	for i, item := range v.items {
		field := o.field(fmt.Sprintf("after[%d]", i))
		switch {
		case item.kind != valueString:
			o.list.add(item.offset, field, "must be a string, not %s", item.kind)
		case slices.Contains(names, item.text):
			o.list.add(item.offset, field, "%s stands twice", quote(item.text))
		default:
			names = append(names, item.text)
		}
	}
	return names
}

func (d *specDecoder) stageNamesUnique(unresolved []unresolvedStage) bool {
	unique := true
	seen := map[string]bool{}
	for _, u := range unresolved {
		name := u.stage.Name
		if name != "" && seen[name] {
			u.obj.fault("name", "%s names two stages", quote(name))
			unique = false
		}
		seen[name] = true
	}
	return unique
}

// chainStages makes each stage wait for the one before it.
func chainStages(unresolved []unresolvedStage) []catalog.Stage {
	stages := make([]catalog.Stage, len(unresolved))
	for i, u := range unresolved {
		stages[i] = u.stage
		if i > 0 {
			stages[i].After = []int{i - 1}
		}
	}
	return stages
}

// sortStages sorts the stages topologically and otherwise keeps the order of the
// text. The last stage produces the response.
func (d *specDecoder) sortStages(unresolved []unresolvedStage) []catalog.Stage {
	if !d.predecessorsExist(unresolved) {
		return nil
	}
	sortedIndex := map[string]int{}
	var stages []catalog.Stage
	for len(stages) < len(unresolved) {
		next := nextReadyStage(unresolved, sortedIndex)
		if next < 0 {
			d.reportCycle(unresolved, sortedIndex)
			return nil
		}
		s := unresolved[next].stage
		for _, name := range unresolved[next].predecessors {
			s.After = append(s.After, sortedIndex[name])
		}
		sortedIndex[s.Name] = len(stages)
		stages = append(stages, s)
	}
	d.checkSingleFinalStage(unresolved)
	return stages
}

// predecessorsExist reports unknown predecessors and returns whether all stages
// can be sorted.
func (d *specDecoder) predecessorsExist(unresolved []unresolvedStage) bool {
	known := map[string]bool{}
	for _, u := range unresolved {
		known[u.stage.Name] = true
	}
	ok := true
	for _, u := range unresolved {
		for _, name := range u.predecessors {
			if !known[name] || name == "" {
				u.obj.fault("after", "%s is not a stage of this pipeline", quote(name))
				ok = false
			}
		}
		// A stage without a valid name was reported when it was decoded.
		ok = ok && u.stage.Name != ""
	}
	return ok
}

// nextReadyStage returns the index of the first stage that is not sorted yet and
// whose predecessors all are, or -1.
func nextReadyStage(unresolved []unresolvedStage, sortedIndex map[string]int) int {
	return slices.IndexFunc(unresolved, func(u unresolvedStage) bool {
		if _, done := sortedIndex[u.stage.Name]; done {
			return false
		}
		return !slices.ContainsFunc(u.predecessors, func(name string) bool {
			_, done := sortedIndex[name]
			return !done
		})
	})
}

// reportCycle reports every stage that sortStages could not place.
func (d *specDecoder) reportCycle(unresolved []unresolvedStage, sortedIndex map[string]int) {
	for _, u := range unresolved {
		if _, done := sortedIndex[u.stage.Name]; !done {
			u.obj.fault("after", "stage %s waits for itself through a cycle", quote(u.stage.Name))
		}
	}
}

// checkSingleFinalStage reports pipelines with several stages that no other stage
// waits for: only one of them can produce the response, and the results of the
// others would be discarded.
func (d *specDecoder) checkSingleFinalStage(unresolved []unresolvedStage) {
	needed := map[string]bool{}
	for _, u := range unresolved {
		for _, name := range u.predecessors {
			needed[name] = true
		}
	}
	var last []unresolvedStage
	for _, u := range unresolved {
		if !needed[u.stage.Name] {
			last = append(last, u)
		}
	}
	for i := 0; i+1 < len(last); i++ {
		last[i].obj.fault("name", "no stage comes after %s, nor after %s: only one stage can give the answer",
			quote(last[i].stage.Name), quote(last[len(last)-1].stage.Name))
	}
}
