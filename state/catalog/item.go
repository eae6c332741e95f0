package catalog

import "time"

// RecordKind is a kind of record that operators write.
type RecordKind string

// The kinds of record, by their names in the platform's object API.
const (
	RecordPools     RecordKind = "pools"
	RecordTiers     RecordKind = "tiers"
	RecordPipelines RecordKind = "pipelines"
	RecordAccounts  RecordKind = "accounts"
)

// Item is a decoded record: a *Pool, *Tier, *Pipeline or *Account.
type Item interface {
	isItem()
}

func (*Pool) isItem()     {}
func (*Tier) isItem()     {}
func (*Pipeline) isItem() {}
func (*Account) isItem()  {}

// CriticalPath returns the duration of the longest chain of dependent stages if
// every stage takes its expected duration. The pipeline cannot complete sooner.
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
