package refusal

// blocks hands out refusal numbers from blocks, each of which belongs to one key, so that a number
// leads to exactly one entry. Numbers of a block that its key doesn't use are never used; the
// counts of entries don't depend on numbers.
type blocks struct {
	// last is the highest number handed out in a block.
	last uint64
	open map[key]*block
}

type block struct {
	first uint64
	next  uint64
	end   uint64
}

func newBlocks() blocks { return blocks{open: map[key]*block{}} }

// next returns the next number of the key, from 1, and the first number of its block.
func (b *blocks) next(k key) (number, first uint64) {
	own := b.open[k]
	if own == nil || own.next > own.end {
		own = b.take(k, own)
	}
	number = own.next
	own.next++
	return number, own.first
}

// take opens a block for the key, twice as large as its previous one. The map is bounded by
// dropping all open blocks, whose rest stays unused.
func (b *blocks) take(k key, previous *block) *block {
	size := uint64(MinBlockSize)
	if previous != nil {
		size = min(2*(previous.end-previous.first+1), MaxBlockSize)
	}
	if len(b.open) >= MaxEntries {
		clear(b.open)
	}
	own := &block{first: b.last + 1, next: b.last + 1, end: b.last + size}
	b.last = own.end
	b.open[k] = own
	return own
}
