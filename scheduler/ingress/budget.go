package ingress

// shareOfFree is the part of the free memory of a Budget up to which one account may hold memory.
const shareOfFree = 0.25

// Budget divides an amount of memory among accounts. An account may hold no more than a part of what
// remains free: the more accounts hold memory, the less each of them may hold, and one that holds little
// always finds some. It is not safe for concurrent use.
type Budget struct {
	limit    int64
	reserved int64
}

// Account is the memory that one connection holds of a Budget. Its zero value is ready for use.
type Account struct{ reserved int64 }

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve adds bytes to those that an account holds, and returns true, unless that is more than it may hold.
func (b *Budget) Reserve(account *Account, bytes int64) bool {
	free := b.limit - b.reserved - bytes
	if float64(account.reserved+bytes) > shareOfFree*float64(free) {
		return false
	}
	b.Release(account, -bytes)
	return true
}

// Release subtracts bytes from those that an account holds.
func (b *Budget) Release(account *Account, bytes int64) {
	account.reserved -= bytes
	b.reserved -= bytes
}

// Reserved returns the bytes that all accounts hold.
func (b *Budget) Reserved() int64 { return b.reserved }
