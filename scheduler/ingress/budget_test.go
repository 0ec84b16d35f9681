package ingress_test

import (
	"testing"

	"pgregory.net/rapid"

	"lupinpond/scheduler/ingress"
)

// TestBudgetIsNotExceeded checks that any sequence of holds and releases stays within the budget.
func TestBudgetIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		budget := ingress.NewBudget(limit)
		accounts := make([]ingress.Account, rapid.IntRange(1, 50).Draw(t, "accounts"))
		reserved := make([]int64, len(accounts))
		for range 300 {
			i, bytes := rapid.IntRange(0, len(accounts)-1).Draw(t, "account"), rapid.Int64Range(0, 20<<10).Draw(t, "bytes")
			switch {
			case rapid.IntRange(0, 3).Draw(t, "action") == 0:
				budget.Release(&accounts[i], reserved[i])
				reserved[i] = 0
			case budget.Reserve(&accounts[i], bytes):
				reserved[i] += bytes
			}
			if budget.Reserved() > limit {
				t.Fatalf("%d bytes are reserved, the limit is %d", budget.Reserved(), limit)
			}
		}
	})
}

// TestSmallAccountFindsMemory checks that an account that holds little gets memory beside any number of accounts that
// hold as much as they may.
func TestSmallAccountFindsMemory(t *testing.T) {
	for _, count := range []int{1, 8, 100, 480} {
		budget, small := ingress.NewBudget(4<<20), ingress.Account{}
		accounts := make([]ingress.Account, count)
		for range 1000 {
			for i := range accounts {
				budget.Reserve(&accounts[i], 1<<10)
			}
		}
		if !budget.Reserve(&small, 3<<10) {
			t.Errorf("%d greedy accounts: a small one gets no memory", count)
		}
	}
}
