package token

import "sync"

// Pool checks signatures on goroutines of its own. A signature costs more than all the rest of a request, and
// a loop that checked them itself would answer nothing else meanwhile. Its queue is bounded: what does not fit
// is the caller's to refuse.
type Pool struct {
	jobs chan job
	post func(func())
	wg   sync.WaitGroup
	once sync.Once
}

type job struct {
	keys keySet
	raw  string
	done func(*Claims, error)
}

// NewPool starts workers; post hands results back to the owner's goroutine.
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

// Close ends the workers; results that are out still come.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.jobs) })
	p.wg.Wait()
}

// Begin checks the signature of a token, from the cache at once or in the pool. done is called on the owner's
// goroutine, perhaps within this call. It returns false where the pool's queue is full.
func (c *Checker) Begin(p *Pool, raw string, done func(*Claims, error)) bool {
	if claims := c.cached(raw); claims != nil {
		done(claims, nil)
		return true
	}
	if err := plausible(raw); err != nil {
		done(nil, err)
		return true
	}
	turn := c.turn
	select {
	case p.jobs <- job{c.keys, raw, func(claims *Claims, err error) {
		if turn != c.turn { // the keys were changed meanwhile: what held then may not hold now
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
