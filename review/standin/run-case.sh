#!/bin/sh
# Plays case $1: 0 the rule held, 1 it was broken, 2 the case couldn't run. Started by the case's run.sh.
here=$(cd "$(dirname "$0")/.." && pwd)
root=$(cd "$here/.." && pwd)
program="$here/build/case$1"
[ -x "$program" ] || { echo "the case can't run: start review/build.sh first"; exit 2; }
[ -x "$root/build/laurelhaven" ] || { echo "the case can't run: there is no build of the deploy file"; exit 2; }
SENDER_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
CASE_FOLDER=$(mktemp -d) || exit 2
export SENDER_RUN CASE_FOLDER
[ -n "$KEEP" ] && echo "state and log are in $CASE_FOLDER" || trap 'rm -rf "$CASE_FOLDER"' EXIT
cd "$root" || exit 2
timeout -k 2 115 "$program" "$here/$1/record.txt"
code=$?
[ $code -le 2 ] || { echo "the case couldn't run: status $code"; code=2; }
exit $code
