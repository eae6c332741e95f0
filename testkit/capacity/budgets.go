package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ivyhollow/ivyhollow/coordination/budget"
	"github.com/ivyhollow/ivyhollow/daemon/accounts"
	"github.com/ivyhollow/ivyhollow/protocol/peer"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Shape of the measure of budgets.
const (
	// accountShare is the part of the accounts that is played: they share
	// nothing but the bound of accounts remembered, which shrinks with them.
	accountShare  = 32
	budgetWarmUp  = 240 * time.Second
	budgetLength  = 60 * time.Second
	budgetReserve = 3.0
	budgetStep    = 50 * time.Millisecond
)

// budgetFleet plays the ledgers of all instances in virtual time.
type budgetFleet struct {
	now      time.Time
	ledgers  []*budget.Ledger
	byName   map[string]*budget.Ledger
	accounts []*catalog.Account
	rng      *rand.Rand

	asks, bytes, served, refused int
}

// newBudgetFleet makes n accounts that together send the target rate, each with
// a budget of budgetReserve times its mean.
func newBudgetFleet(n, remembered int) *budgetFleet {
	f := &budgetFleet{now: time.Unix(1_000_000, 0), byName: map[string]*budget.Ledger{}, rng: rand.New(rand.NewPCG(3, 4))}
	members := make([]string, targetNodes)
	for i := range members {
		members[i] = instanceName(i)
	}
	for _, name := range members {
		l := budget.NewLedger(f.now, budget.Config{Self: name, MaxAccounts: remembered})
		l.SetMembers(f.now, members, len(members))
		f.ledgers = append(f.ledgers, l)
		f.byName[name] = l
	}
	rate := budgetReserve * targetRequests * targetNodes / accountShare / float64(n)
	for i := range n {
		f.accounts = append(f.accounts, &catalog.Account{Name: accountName(i), RequestsPerSecond: rate, Burst: 10 * rate})
	}
	return f
}

func (f *budgetFleet) run(d time.Duration) {
	const perStep = targetRequests * targetNodes / accountShare * float64(budgetStep) / float64(time.Second)
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(budgetStep) {
		for due += perStep; due >= 1; due-- {
			f.request()
		}
	}
}

// request sends one request of a random account to a random instance.
func (f *budgetFleet) request() {
	account := f.accounts[f.rng.IntN(len(f.accounts))]
	ledger := f.ledgers[f.rng.IntN(len(f.ledgers))]
	for range 2 {
		decision := ledger.Allow(f.now, account)
		if decision.Request != nil {
			f.ask(ledger, *decision.Request, account)
		}
		switch decision.Verdict {
		case budget.Allowed:
			f.served++
			return
		case budget.Refused:
			f.refused++
			return
		}
	}
	f.refused++
}

func (f *budgetFleet) ask(from *budget.Ledger, ask budget.GrantRequest, account *catalog.Account) {
	grant := f.byName[ask.Home].Grant(f.now, ask, account)
	from.ApplyGrant(f.now, grant)
	f.asks++
	f.bytes += wire(&ask, func(body []byte) peer.Message {
		return &peer.Request{ID: 1 << 20, Method: accounts.MethodGrant, TimeoutMillis: 50, Body: body}
	}) + wire(&grant, func(body []byte) peer.Message { return &peer.Response{ID: 1 << 20, Body: body} })
}

// wire returns the bytes of a frame.
func wire(value any, message func([]byte) peer.Message) int {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return 0
	}
	frame, err := peer.Encode(message(body))
	if err != nil {
		return 0
	}
	return len(frame)
}

func measureBudgets(o Options) ([]Series, error) {
	var all []Series
	for _, remembered := range []int{budget.DefaultMaxAccounts, 2 * targetAccounts} {
		all = append(all, measureBudget(o, remembered)...)
	}
	return all, nil
}

func measureBudget(o Options, remembered int) []Series {
	name := "4,096 accounts remembered: "
	if remembered > budget.DefaultMaxAccounts {
		name = "all accounts remembered: "
	}
	series := func(quantity, unit string, limit float64) Series {
		return Series{Quantity: name + quantity, Unit: unit, Size: "account", Target: targetAccounts, Budget: limit}
	}
	asks := series("questions", "1/s a node", 0)
	bytes := series("questions and grants", "B/s a node", budgetBytes)
	refused := series("refused within budget", "%", 0)
	memory := series("ledger", "MB a node", budgetMemory)
	for _, n := range o.sizes(1000, 8000, 32000) {
		var f *budgetFleet
		size := heapOf(func() any {
			f = newBudgetFleet(max(n/accountShare, 1), max(remembered/accountShare, 1))
			f.run(budgetWarmUp)
			return f
		})
		f.asks, f.bytes, f.served, f.refused = 0, 0, 0, 0
		f.run(budgetLength)
		perNode := accountShare / float64(targetNodes) / budgetLength.Seconds()
		asks.add(n, float64(f.asks)*perNode)
		bytes.add(n, float64(f.bytes)*perNode)
		refused.add(n, 100*float64(f.refused)/float64(max(f.refused+f.served, 1)))
		memory.add(n, size*accountShare/targetNodes/megabyte)
	}
	return []Series{asks, bytes, refused, memory}
}
