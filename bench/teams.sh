#!/usr/bin/env bash
# Time to find the team of a key at 10,000 teams, and memory of a configuration of 1,000 teams.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
. "$home/bin/java-home.sh"
if [ ! -f "$home/bench/target/bench.jar" ]; then
  echo "teams.sh: not built yet; run bin/build" >&2
  exit 2
fi
# The options of an instance (deploy/system.toml) that matter here, on one processor.
exec "$JAVA_HOME/bin/java" ${MAGNOLIA_JAVA_OPTIONS:--Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=4 -XX:ActiveProcessorCount=1} \
  -cp "$home/bench/target/bench.jar:$home/bench/target/lib/*" org.magnoliaswitch.bench.scale.TeamScaleMain "$@"
