#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program="target/review-$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x target/amaranthline ]; then
  echo "build the project and run review/build.sh first" >&2
  exit 2
fi
timeout -s KILL 115 "$program" -record "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
