#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# there is no disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/app/front.jsa ] && [ -f target/review/SlowReader.class ] || exit 2
timeout -k 5 114 target/jdk/bin/java -cp target/review SlowReader . review/3/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
