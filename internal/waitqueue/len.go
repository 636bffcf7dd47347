package waitqueue

// Len returns the number of requests that wait for a key.
func (qs *Queues) Len(key Key) int {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if q, ok := qs.queues[key]; ok {
		return len(q.waiters)
	}
	return 0
}
