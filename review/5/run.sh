#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/mulberryhead ] && [ -x target/review-cases ] || exit 2
exec target/review-cases 5 "$folder"
