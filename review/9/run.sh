#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/lab ] || [ ! -x target/release/balancer-sidecar ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
trap 'rm -rf "$CASE_FOLDER"' EXIT
target/review-2/lab slow-answer review/9/record.txt &
lab=$!
trap 'kill "$lab" 2>/dev/null; wait "$lab"; exit 2' HUP INT TERM
wait "$lab"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
