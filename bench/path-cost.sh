#!/usr/bin/env bash
# Processor time of an instance by cause, as deploy/ builds and starts it: a start until ready, an
# idle second, a request (cold and warm, at 3 and 50 a second) and a health check.
# COUNT instances of each of four kinds (4), REQUESTS in each measured phase (100), IDLE seconds
# (20). With OTHER_HOME in the environment it measures the build in that tree, for comparisons.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
cd "$home"
. bin/java-home.sh
measured=${OTHER_HOME:-$home}
[ "$measured" != "$home" ] || deploy/build.sh
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$measured/deploy/system.toml")
mvn -q -B -ntp test -pl platform -am -Dspotless.check.skip -Dcheckstyle.skip -Dtest=PathCostTest \
  -Dsurefire.failIfNoSpecifiedTests=false "-Dpath.instances=${1:-4}" "-Dpath.requests=${2:-100}" \
  "-Dpath.idle=$((${3:-20} * 1000))" -Dpath.warmup=300 "-Dsoak.command=$command" \
  "-Dsoak.directory=$measured" | grep path-cost:
