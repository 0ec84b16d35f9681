package thrift

import (
	"sync"

	"lupinpond/scheduler/ingress"
)

// budget is an ingress.Budget that is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	budget *ingress.Budget
}

func newBudget(limit int64) *budget { return &budget{budget: ingress.NewBudget(limit)} }

func (b *budget) reserve(account *ingress.Account, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Reserve(account, int64(bytes))
}

func (b *budget) release(account *ingress.Account, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(account, int64(bytes))
}

func (b *budget) reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Reserved()
}
