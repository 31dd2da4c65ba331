#!/usr/bin/env bash
# Plays the case "reclaim". Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/banyanrun-host ] || [ ! -x review/bin/standin ]; then
  echo "the programs in target/ and review/bin/ are not built" >&2
  exit 2
fi
timeout --kill-after=2 118 review/bin/standin -case reclaim -record "$folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
