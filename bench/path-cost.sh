#!/usr/bin/env bash
# Processor time of an instance by cause, as deploy/ builds and starts it: a start until ready, an
# idle second, a request (cold and warm, at 3 and 50 a second) and a health check.
# COUNT instances of each of three kinds (4), REQUESTS in each measured phase (100), IDLE seconds
# (20). With KEEP=1 in the environment it measures what target/ has already.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
cd "$home"
. bin/java-home.sh
[ "${KEEP:-0}" = 1 ] || deploy/build.sh
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
mvn -o -q -B -ntp test -pl platform -am -Dspotless.check.skip -Dcheckstyle.skip -Dtest=PathCostTest \
  -Dsurefire.failIfNoSpecifiedTests=false "-Dpath.instances=${1:-4}" "-Dpath.requests=${2:-100}" \
  "-Dpath.idle=$((${3:-20} * 1000))" -Dpath.warmup=1000 "-Dsoak.command=$command" \
  "-Dsoak.directory=$home" | grep path-cost:
