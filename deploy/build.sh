#!/usr/bin/env bash
# Builds what runs on the platform's machines into target/: a JDK link, the program and its
# libraries in one file, and an archive of loaded classes that shortens the start.
set -eu
cd "$(dirname "$0")/.."
. bin/java-home.sh
mvn -q -B -ntp package -Dmaven.test.skip=true -pl platform -am \
  -Dspotless.check.skip -Dcheckstyle.skip \
  "-DoutputRoot=$PWD/target/modules/\${project.artifactId}"
rm -rf target/app target/jdk
mkdir -p target/app
cp target/modules/platform/platform.jar target/app/
ln -s "$JAVA_HOME" target/jdk

# A restarted machine's callers wait until its classes are loaded and linked, so that is done here:
# one start with the options of deploy/system.toml lists what is loaded, a second one archives it.
options=$(sed -n 's/^run = "target\/jdk\/bin\/java \(.*\) -jar .*/\1/p' deploy/system.toml)
plain=${options/-XX:SharedArchiveFile=target\/app\/front.jsa/}
linked=-XX:+AOTClassLinking
target/jdk/bin/java "$linked" -version >/dev/null 2>&1 || linked=
MAGNOLIASWITCH_CONFIG=$PWD/target/app/training.json \
  target/jdk/bin/java $plain -XX:DumpLoadedClassList=target/app/classes.lst \
  -cp target/app/platform.jar org.magnoliaswitch.platform.TrainingMain >target/training.log 2>&1
target/jdk/bin/java $options $linked -Xshare:dump -XX:SharedClassListFile=target/app/classes.lst \
  -cp target/app/platform.jar >target/archive.log 2>&1
