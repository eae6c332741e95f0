package catalog

import "time"

// RecordKind names one of the kinds of record that operators write.
type RecordKind string

// The kinds of record, as the platform's object API spells them.
const (
	RecordPools     RecordKind = "pools"
	RecordTiers     RecordKind = "tiers"
	RecordPipelines RecordKind = "pipelines"
	RecordAccounts  RecordKind = "accounts"
)

// Item is what a record decodes to: a *Pool, *Tier, *Pipeline or *Account.
type Item interface {
	isItem()
}

func (*Pool) isItem()     {}
func (*Tier) isItem()     {}
func (*Pipeline) isItem() {}
func (*Account) isItem()  {}

// CriticalPath is the least time in which the pipeline can answer when every
// stage takes its expected time: the longest chain of stages that wait for one
// another.
func (p *Pipeline) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(p.Stages))
	for i := range p.Stages {
		stage := &p.Stages[i]
		var start time.Duration
		for _, before := range stage.After {
			start = max(start, ends[before])
		}
		ends[i] = start + stage.ExpectedDuration
		longest = max(longest, ends[i])
	}
	return longest
}
