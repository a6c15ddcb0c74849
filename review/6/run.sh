#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/linnetcart-edge ] && [ -x target/review-2/review-2 ] || exit 2
exec target/review-2/review-2 stolen-id review/6
