package target

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

const (
	// ordersKept bounds the journal of orders.
	maxKeptOrders = 1024
	// maxLoaded bounds the models, and the adapters, that are loaded.
	maxLoaded = 64
)

var (
	errOldFencing    = errors.New("fencing number is old")
	errBadAction     = errors.New("unknown action")
	errTooManyLoaded = errors.New("no room to load more")
)

// orderBook holds what orders have changed.
type orderState struct {
	checksFencing bool
	anyModel      bool
	anyAdapter    bool

	mu       sync.Mutex
	fencing  uint64
	models   []string
	adapters []string
	version  string
	role     string
	applied  []targetapi.Order
}

func newOrderState(options Options) *orderState {
	return &orderState{
		checksFencing: options.ChecksFencing,
		anyModel:      options.Models == nil,
		anyAdapter:    options.Adapters == nil,
		models:        slices.Clone(options.Models),
		adapters:      slices.Clone(options.Adapters),
	}
}

// accept notes an order's fencing number before the order takes effect.
func (b *orderState) accept(order targetapi.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkFencing(order); err != nil {
		return err
	}
	b.fencing = max(b.fencing, order.Fencing)
	return nil
}

// apply makes an accepted order take effect. Loading takes long, so a newer
// holder may have given orders in between: the number is checked once more.
func (b *orderState) apply(order targetapi.Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkFencing(order); err != nil {
		return err
	}
	if err := b.execute(order); err != nil {
		return err
	}
	b.applied = append(b.applied, order)
	if len(b.applied) > maxKeptOrders {
		b.applied = b.applied[1:]
	}
	return nil
}

func (b *orderState) checkFencing(order targetapi.Order) error {
	if b.checksFencing && order.Fencing < b.fencing {
		return errOldFencing
	}
	return nil
}

func (b *orderState) execute(order targetapi.Order) (err error) {
	switch order.Action {
	case targetapi.ActionLoadModel:
		b.models, err = load(b.models, order.Value)
	case targetapi.ActionLoadAdapter:
		b.adapters, err = load(b.adapters, order.Value)
	case targetapi.ActionSetVersion:
		b.version = order.Value
	case targetapi.ActionSetRole:
		b.role = order.Value
	default:
		err = errBadAction
	}
	return err
}

func load(loaded []string, name string) ([]string, error) {
	if slices.Contains(loaded, name) {
		return loaded, nil
	}
	if len(loaded) == maxLoaded {
		return loaded, errTooManyLoaded
	}
	return append(loaded, name), nil
}

// describe fills in what orders have changed.
func (b *orderState) addTo(load *targetapi.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	load.Models = slices.Clone(b.models)
	load.Adapters = slices.Clone(b.adapters)
	load.Version = b.version
	load.Role = b.role
	load.Fencing = b.fencing
}

// has tells whether the model and the adapter of a call are loaded.
func (b *orderState) isLoaded(model, adapter string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	modelLoaded := model == "" || b.anyModel || slices.Contains(b.models, model)
	adapterLoaded := adapter == "" || b.anyAdapter || slices.Contains(b.adapters, adapter)
	return modelLoaded && adapterLoaded
}

// list returns the orders that took effect, the oldest first.
func (b *orderState) list() []targetapi.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.applied)
}
