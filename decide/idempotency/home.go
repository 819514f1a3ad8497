package idempotency

import "github.com/cespare/xxhash/v2"

// Home is the director that answers for a paid token: rendezvous hashing (highest random weight, Thaler and
// Ravishankar 1998) over the directors' names, so that all directors agree without a word and a change of
// the list moves only the tokens of those that came or went. It returns -1 for an empty list.
func Owner(key string, directors []string) int {
	best, most := -1, uint64(0)
	for i, name := range directors {
		d := xxhash.New()
		d.WriteString(name)
		d.Write([]byte{0})
		d.WriteString(key)
		if h := d.Sum64(); best < 0 || h > most {
			best, most = i, h
		}
	}
	return best
}
