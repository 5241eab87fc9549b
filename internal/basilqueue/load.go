package basilqueue

// Load is the number of jobs of one service at this entry host.
type Load struct {
	Running int // jobs at backend servers
	Waiting int // queued jobs
}

// Loads returns the load of each service.
func (q *Queues) Loads() map[string]Load {
	all := make(map[string]Load)
	for _, queue := range *q.list.Load() {
		all[queue.service] = queue.load()
	}
	return all
}

func (q *Queue) load() Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	l := Load{Running: q.scheduler.running}
	for _, k := range ClassValues() {
		l.Waiting += q.scheduler.classQueues[k].size
	}
	return l
}
