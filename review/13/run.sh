#!/usr/bin/env bash
# Plays this case; claim.txt tells what it shows. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
calm=()
if [ "${TROUBLE:-1}" = 0 ]; then calm=(--calm); fi
exec target/review-3 separated --record review/13/record.txt "${calm[@]}"
