#!/bin/bash
# All checks of the repository; needs nothing outside it.
set -euo pipefail
cd "$(dirname "$0")"
pkgs="./balance/... ./internal/... ./cmd/..."

go vet $pkgs
unformatted=$(gofmt -l balance internal cmd)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi

policy=$(sed -n 's/^policy = \[\(.*\)\].*$/\1/p' deploy/balancer.toml | tr -d '",')
lines=$(cat $policy | grep -c '[^[:space:]]')
echo "policy: $lines lines"
if [ "$lines" -gt 1200 ]; then
	echo "policy files hold over 1200 lines" >&2
	exit 1
fi
for f in $(find balance -name '*.go' ! -name '*_test.go'); do
	case " $policy " in *" $f "*) ;; *) echo "$f is not listed under policy" >&2; exit 1 ;; esac
done

go test -count=1 $pkgs

mkdir -p bin && go build -o bin/ ./cmd/...
for f in cmd/drill/testdata/*.in; do
	for turn in 1 2; do
		bin/drill <"$f" | cmp - "${f%.in}.out"
	done
done
if printf 'MARK 1\nNONSENSE\n' | bin/drill >/dev/null 2>&1; then
	echo "drill took a malformed line" >&2
	exit 1
fi
