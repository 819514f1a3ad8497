package token

import "sync"

// Pool verifies signatures on worker goroutines. Verifying a signature costs more than all other work for a request,
// and an event loop that did it itself would serve nothing else meanwhile. The queue is bounded: the caller has to
// reject tokens that do not fit.
type Pool struct {
	jobs chan job
	post func(func())
	wg   sync.WaitGroup
	once sync.Once
}

// job is one token to verify; done is called on the owner's goroutine.
type job struct {
	keys keySet
	raw  string
	done func(*Claims, error)
}

// NewPool starts a pool of workers with a bounded queue; post runs a function on the owner's goroutine.
func NewPool(workers, queue int, post func(func())) *Pool {
	p := &Pool{jobs: make(chan job, max(queue, 1)), post: post}
	for range max(workers, 1) {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			for j := range p.jobs {
				claims, err := verify(j.keys, j.raw)
				p.post(func() { j.done(claims, err) })
			}
		}()
	}
	return p
}

// Close stops the workers once the queue is empty; results of queued jobs are still delivered. No job may be added
// after it.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.jobs) })
	p.wg.Wait()
}

// VerifyAsync verifies the signature of a token, from the cache at once or in the pool. done is called on the owner's
// goroutine, possibly within this call. VerifyAsync returns false if the pool's queue is full.
func (c *Checker) VerifyAsync(p *Pool, raw string, done func(*Claims, error)) bool {
	if claims := c.lookup(raw); claims != nil {
		done(claims, nil)
		return true
	}
	if err := checkLength(raw); err != nil {
		done(nil, err)
		return true
	}
	keySetVersion := c.keySetVersion
	select {
	case p.jobs <- job{c.keys, raw, func(claims *Claims, err error) {
		if keySetVersion != c.keySetVersion { // the keys have changed meanwhile, so the result may be outdated
			claims, err = verify(c.keys, raw)
		}
		if err == nil {
			c.store(raw, claims)
		}
		done(claims, err)
	}}:
		return true
	default:
		return false
	}
}
