#!/usr/bin/env bash
# Runs one instance of the front: those with an even number in the name of their settings file come
# from the build in OTHER_HOME, the others from this one. bin/soak passes it to the soak.
set -eu
home=$(cd "$(dirname "$0")/../.." && pwd)
. "$home/bin/java-home.sh"
file=${MAGNOLIASWITCH_CONFIG##*/}
number=${file//[!0-9]/}
build=this
if [ $((number % 2)) -eq 0 ]; then
  home=$OTHER_HOME
  build=other
fi
echo "build=$build"
exec "$JAVA_HOME/bin/java" -Xmx64m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -jar "$home/platform/target/platform.jar"
