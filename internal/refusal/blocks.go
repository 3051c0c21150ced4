package refusal

// numberAllocator hands out refusal numbers from blocks, each of which belongs to one key, so that a number
// leads to exactly one entry. Numbers of a block that its key doesn't use are never used; the
// counts of entries don't depend on numbers.
type numberAllocator struct {
	// lastNumber is the highest number handed out in a block.
	lastNumber uint64
	current    map[entryKey]*numberBlock
}

type numberBlock struct {
	first uint64
	next  uint64
	end   uint64
}

func newNumberAllocator() numberAllocator {
	return numberAllocator{current: map[entryKey]*numberBlock{}}
}

// allocate returns the next number of the key, from 1, and the first number of its block.
func (b *numberAllocator) allocate(k entryKey) (number, first uint64) {
	own := b.current[k]
	if own == nil || own.next > own.end {
		own = b.openBlock(k, own)
	}
	number = own.next
	own.next++
	return number, own.first
}

// openBlock opens a block for the key, twice as large as its previous one. The map is bounded by
// dropping all open blocks, whose rest stays unused.
func (b *numberAllocator) openBlock(k entryKey, previous *numberBlock) *numberBlock {
	size := uint64(MinBlockSize)
	if previous != nil {
		size = min(2*(previous.end-previous.first+1), MaxBlockSize)
	}
	if len(b.current) >= MaxEntries {
		clear(b.current)
	}
	own := &numberBlock{first: b.lastNumber + 1, next: b.lastNumber + 1, end: b.lastNumber + size}
	b.lastNumber = own.end
	b.current[k] = own
	return own
}
