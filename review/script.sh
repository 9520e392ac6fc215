#!/bin/sh
# Plays a case: script.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. With TROUBLE=0 it does the same without the disruption.
set -u
folder=$1
root=$(cd "$folder/../.." && pwd)
program=$root/target/release/chicory-entry
standins=$root/target/review/release/review-standins
[ -x "$program" ] || { echo "build the deploy file first" >&2; exit 2; }
[ -x "$standins" ] || { echo "run review/build.sh first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
# The daemons run in the repository root, as the deploy file has it.
cd "$root" || exit 2
timeout -k 5 110 "$standins" "$2" "$program" "$work" "$folder/record.txt"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
