#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 in the
# environment leaves the cuts out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/LateDeparture.class ] && [ -f target/app/platform.jar ] || exit 2
exec target/jdk/bin/java -Xmx512m -cp target/review-2 LateDeparture review/6
