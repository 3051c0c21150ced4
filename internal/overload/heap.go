package overload

// costOf is the cost of a job for each unit of value, and the job's index.
type costOf struct {
	cost float64
	job  int
}

// costHeap is a heap of jobs, the costliest first. Unlike container/heap it doesn't allocate for each job.
type costHeap []costOf

// push adds a job.
func (h *costHeap) push(added costOf) {
	*h = append(*h, added)
	list := *h
	for n := len(list) - 1; n > 0; {
		parent := (n - 1) / 2
		if list[parent].cost >= list[n].cost {
			return
		}
		list[parent], list[n] = list[n], list[parent]
		n = parent
	}
}

// pop removes the costliest job.
func (h *costHeap) pop() costOf {
	list := *h
	top, last := list[0], len(list)-1
	list[0] = list[last]
	list = list[:last]
	for n := 0; ; {
		child := 2*n + 1
		if child >= last {
			break
		}
		if child+1 < last && list[child+1].cost > list[child].cost {
			child++
		}
		if list[n].cost >= list[child].cost {
			break
		}
		list[n], list[child] = list[child], list[n]
		n = child
	}
	*h = list
	return top
}
