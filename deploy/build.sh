#!/usr/bin/env bash
# Builds what runs on the platform's machines into target/: a JDK link, the program and its
# libraries, and an archive of loaded classes that shortens the start.
set -eu
cd "$(dirname "$0")/.."
. bin/java-home.sh
mvn -q -B -ntp package -Dmaven.test.skip=true -pl platform -am \
  -Dspotless.check.skip -Dcheckstyle.skip \
  "-DoutputRoot=$PWD/target/modules/\${project.artifactId}"
rm -rf target/app target/jdk
mkdir -p target/app
cp target/modules/platform/platform.jar target/app/
cp -r target/modules/platform/lib target/app/lib
ln -s "$JAVA_HOME" target/jdk

# The options must be those of deploy/system.toml, or the archive is not used.
options=$(sed -n 's/^run = "target\/jdk\/bin\/java \(.*\) -jar .*/\1/p' deploy/system.toml)
target/jdk/bin/java ${options/-XX:SharedArchiveFile=/-XX:ArchiveClassesAtExit=} \
  -cp target/app/platform.jar org.magnoliaswitch.platform.TrainingMain >target/training.log 2>&1
