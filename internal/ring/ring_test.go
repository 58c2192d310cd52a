package ring

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A list does what a slice would, whatever is put in and taken out.
func TestListIsASlice(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var lists [2]List[int]
	var want [2][]int
	links := make([]Link[int], 20)
	in := make([]int, len(links)) // which list, -1 for none
	for i := range links {
		links[i].Value, in[i] = i, -1
	}
	for range 20000 {
		i := rng.IntN(len(links))
		if at := in[i]; at >= 0 {
			lists[at].Remove(&links[i])
			want[at] = slices.DeleteFunc(want[at], func(k int) bool { return k == i })
			in[i] = -1
		} else {
			at = rng.IntN(2)
			lists[at].PushBack(&links[i])
			want[at] = append(want[at], i)
			in[i] = at
		}
		for at := range lists {
			var got []int
			for k := lists[at].Front(); k != nil; k = lists[at].Next(k) {
				got = append(got, k.Value)
			}
			if !slices.Equal(got, want[at]) || lists[at].Len() != len(want[at]) {
				t.Fatalf("list %d: %v, want %v", at, got, want[at])
			}
		}
	}
}
