package httpserver

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"gorselink/internal/bytebudget"
	"gorselink/internal/http1"
)

// A body of unknown length holds no more memory than is reserved for it. A short one kept 64 KiB,
// of which only its length was reserved.
func TestChunkedBodyHoldsWhatIsReserved(t *testing.T) {
	for _, length := range []int{1, 3 << 10, 40 << 10, 100 << 10} {
		var short, long bytebudget.Budget
		short.SetTotal(1 << 20)
		long.SetTotal(1 << 20)
		in := bufio.NewReader(strings.NewReader(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("b", length))))
		body, err := readBody(in, &http1.Head{Length: -1, Chunked: true}, bodyMemory{&short, &long, true}, 1<<20)
		if err != nil || len(body.data) != length {
			t.Fatalf("%d bytes: error %v", length, err)
		}
		reserved := short.InUse() + long.InUse()
		if reserved != int64(length) {
			t.Errorf("%d bytes: %d are reserved", length, reserved)
		}
		const rounding = 16 // allocations are rounded up, by an eighth at most if they are longer
		if held := int64(cap(body.data)); held > reserved+reserved/8+rounding {
			t.Errorf("%d bytes: holds %d, of which %d are reserved", length, held, reserved)
		}
		body.release()
		if n := short.InUse() + long.InUse(); n != 0 {
			t.Errorf("%d bytes: %d are reserved after the release", length, n)
		}
	}
}
