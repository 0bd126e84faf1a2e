#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without kill and silence.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -x "$root/build/review-2/taken" ] || { echo "run review/build-2.sh first"; exit 2; }
"$root/build/review-2/taken" "$root" "$here" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
