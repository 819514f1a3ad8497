package idempotency

import "github.com/cespare/xxhash/v2"

// Owner returns the index of the director that owns a paid token, or -1 for an empty list. It uses rendezvous
// hashing (highest random weight, Thaler and Ravishankar 1998) over the directors' names: all directors agree
// without exchanging messages, and a change of the list moves only the tokens of the directors added or removed.
func Owner(key string, directors []string) int {
	owner, highestWeight := -1, uint64(0)
	for i, name := range directors {
		digest := xxhash.New()
		digest.WriteString(name)
		digest.Write([]byte{0})
		digest.WriteString(key)
		if weight := digest.Sum64(); owner < 0 || weight > highestWeight {
			owner, highestWeight = i, weight
		}
	}
	return owner
}
