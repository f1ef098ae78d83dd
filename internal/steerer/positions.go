package steerer

import "sync/atomic"

// positionCount is the number of equal ranges that the positions of objects are divided into.
const positionCount = 128

// positionCounters counts attempts by the position of their object, so that a share of the
// requests can be told from a share of the objects: with few objects, or with some that are
// asked for more than others, the two differ. Counting takes no lock.
type positionCounters struct {
	counts [positionCount]atomic.Int64
	total  atomic.Int64
}

// add counts an attempt whose object has a position from 0 up to but not including 1.
func (c *positionCounters) add(position float64) {
	c.counts[int(position*positionCount)].Add(1)
	c.total.Add(1)
}

// objectShare returns the fraction of the objects that have a fraction of the requests, by
// the attempts so far. It returns share itself while these are too few to tell, and at
// least the first object that has had any.
func (c *positionCounters) objectShare(share float64) float64 {
	wanted := share * float64(c.total.Load())
	if share >= 1 || wanted < 1 {
		return share
	}
	sum := 0.0
	for i := range c.counts {
		count := float64(c.counts[i].Load())
		if sum > 0 && sum+count-wanted > wanted-sum {
			return float64(i) / positionCount
		}
		sum += count
	}
	return 1
}
