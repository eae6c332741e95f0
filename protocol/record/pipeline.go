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
	// PipelineV2 adds the order of stages as a graph, resumable streams and
	// adapters.
	PipelineV2 = 2
)

// PipelineObjectName is the name of a pipeline's record in the store. It holds
// the schema version, so that both versions stand side by side.
func PipelineObjectName(key catalog.PipelineKey) string {
	return key.Name + ".v" + strconv.Itoa(key.SchemaVersion)
}

// stageDraft is a stage whose predecessors are still names.
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
	drafts := make([]unresolvedStage, len(v.items))
	for i, item := range v.items {
		drafts[i] = d.stage(i, item, version)
	}
	if !d.stageNamesUnique(drafts) {
		return nil
	}
	if version == PipelineV1 {
		return chainStages(drafts)
	}
	return d.sortStages(drafts)
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
	draft := unresolvedStage{obj: o}
	if version >= PipelineV2 {
		s.Resumable = o.boolean("resumable", false)
		s.Adapter = o.modelName("adapter")
		draft.predecessors = o.predecessors()
	}
	o.reportUnknown()
	draft.stage = s
	return draft
}

// after reads the names of the stages before.
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

func (d *specDecoder) stageNamesUnique(drafts []unresolvedStage) bool {
	unique := true
	seen := map[string]bool{}
	for _, draft := range drafts {
		name := draft.stage.Name
		if name != "" && seen[name] {
			draft.obj.fault("name", "%s names two stages", quote(name))
			unique = false
		}
		seen[name] = true
	}
	return unique
}

func chainStages(drafts []unresolvedStage) []catalog.Stage {
	stages := make([]catalog.Stage, len(drafts))
	for i, draft := range drafts {
		stages[i] = draft.stage
		if i > 0 {
			stages[i].After = []int{i - 1}
		}
	}
	return stages
}

// inOrder sorts the stages so that each comes after those it waits for, and
// keeps the order of the text where it can. The last one gives the answer.
func (d *specDecoder) sortStages(drafts []unresolvedStage) []catalog.Stage {
	if !d.predecessorsExist(drafts) {
		return nil
	}
	placed := map[string]int{}
	var stages []catalog.Stage
	for len(stages) < len(drafts) {
		next := nextReadyStage(drafts, placed)
		if next < 0 {
			d.reportCycle(drafts, placed)
			return nil
		}
		s := drafts[next].stage
		for _, name := range drafts[next].predecessors {
			s.After = append(s.After, placed[name])
		}
		placed[s.Name] = len(stages)
		stages = append(stages, s)
	}
	d.checkSingleFinalStage(drafts)
	return stages
}

func (d *specDecoder) predecessorsExist(drafts []unresolvedStage) bool {
	known := map[string]bool{}
	for _, draft := range drafts {
		known[draft.stage.Name] = true
	}
	ok := true
	for _, draft := range drafts {
		for _, name := range draft.predecessors {
			if !known[name] || name == "" {
				draft.obj.fault("after", "%s is not a stage of this pipeline", quote(name))
				ok = false
			}
		}
		// A stage without a good name was reported where it was read.
		ok = ok && draft.stage.Name != ""
	}
	return ok
}

// nextStage finds the first stage that isn't placed and waits for none, or -1.
func nextReadyStage(drafts []unresolvedStage, placed map[string]int) int {
	return slices.IndexFunc(drafts, func(draft unresolvedStage) bool {
		if _, done := placed[draft.stage.Name]; done {
			return false
		}
		return !slices.ContainsFunc(draft.predecessors, func(name string) bool {
			_, done := placed[name]
			return !done
		})
	})
}

func (d *specDecoder) reportCycle(drafts []unresolvedStage, placed map[string]int) {
	for _, draft := range drafts {
		if _, done := placed[draft.stage.Name]; !done {
			draft.obj.fault("after", "stage %s waits for itself through a cycle", quote(draft.stage.Name))
		}
	}
}

// oneLast refuses a second stage that nobody waits for: its result would be
// dropped, since only one stage can give the answer.
func (d *specDecoder) checkSingleFinalStage(drafts []unresolvedStage) {
	needed := map[string]bool{}
	for _, draft := range drafts {
		for _, name := range draft.predecessors {
			needed[name] = true
		}
	}
	var last []unresolvedStage
	for _, draft := range drafts {
		if !needed[draft.stage.Name] {
			last = append(last, draft)
		}
	}
	for i := 0; i+1 < len(last); i++ {
		last[i].obj.fault("name", "no stage comes after %s, nor after %s: only one stage can give the answer",
			quote(last[i].stage.Name), quote(last[len(last)-1].stage.Name))
	}
}
