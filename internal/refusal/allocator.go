package refusal

// numberAllocator assigns refusal numbers from blocks. Each block belongs to one key, so that a number
// identifies exactly one entry. Numbers that are left in a block are never used. The counts of entries don't
// depend on numbers.
type numberAllocator struct {
	// lastNumber is the highest number in any block.
	lastNumber uint64
	// current has the last block of each key.
	current map[entryKey]*numberBlock
}

// numberBlock is a range of numbers that belongs to one key.
type numberBlock struct {
	first uint64
	next  uint64
	// end is the last number of the block.
	end uint64
}

func newNumberAllocator() numberAllocator {
	return numberAllocator{current: map[entryKey]*numberBlock{}}
}

// allocate returns the next number of the key and the first number of its block. Numbers start at 1.
func (a *numberAllocator) allocate(k entryKey) (number, first uint64) {
	block := a.current[k]
	if block == nil || block.next > block.end {
		block = a.openBlock(k, block)
	}
	number = block.next
	block.next++
	return number, block.first
}

// openBlock starts a new block for the key, twice as large as its previous one, up to MaxBlockSize. To limit
// memory, all current blocks are dropped when there are MaxEntries of them, and their remaining numbers are
// never used.
func (a *numberAllocator) openBlock(k entryKey, previous *numberBlock) *numberBlock {
	size := uint64(MinBlockSize)
	if previous != nil {
		size = min(2*(previous.end-previous.first+1), MaxBlockSize)
	}
	if len(a.current) >= MaxEntries {
		clear(a.current)
	}
	block := &numberBlock{first: a.lastNumber + 1, next: a.lastNumber + 1, end: a.lastNumber + size}
	a.lastNumber = block.end
	a.current[k] = block
	return block
}
