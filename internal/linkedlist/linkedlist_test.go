package linkedlist

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// After each random insertion and removal a list has the same elements as a slice.
func TestListMatchesSlice(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var lists [2]List[int]
	var want [2][]int
	links := make([]Link[int], 20)
	listOf := make([]int, len(links)) // index of the list that each link is in, -1 for none
	for i := range links {
		links[i].Value, listOf[i] = i, -1
	}
	for range 20000 {
		i := rng.IntN(len(links))
		if list := listOf[i]; list >= 0 {
			lists[list].Remove(&links[i])
			want[list] = slices.DeleteFunc(want[list], func(k int) bool { return k == i })
			listOf[i] = -1
		} else {
			list = rng.IntN(2)
			lists[list].PushBack(&links[i])
			want[list] = append(want[list], i)
			listOf[i] = list
		}
		for list := range lists {
			var got []int
			for k := lists[list].Front(); k != nil; k = lists[list].Next(k) {
				got = append(got, k.Value)
			}
			if !slices.Equal(got, want[list]) || lists[list].Len() != len(want[list]) {
				t.Fatalf("list %d: elements %v, want %v and the same length", list, got, want[list])
			}
		}
	}
}
