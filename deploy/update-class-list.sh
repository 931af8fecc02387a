#!/bin/sh
# Regenerates deploy/classes.lst, the class list of the class data archive that `build` dumps.
#
# A sidecar is started with the flags of `run`, serves some thousand requests between stand-in
# servers, reloads its configuration and stops; the classes that it loaded make the list. Run it
# after classes were renamed, moved or added.
set -eu
cd "$(dirname "$0")/.."

discovery_port=9001
sidecar_port=8443
sidecar_jar=sidecar/target/sagefall.jar
mvn -q -B -ntp -DskipTests package
list=$(mktemp)
config=$(mktemp)
stand_in_pid=
sidecar_pid=
stop() {
    for pid in $sidecar_pid $stand_in_pid; do kill "$pid" 2>/dev/null || true; done
    rm -f "$list" "$config"
}
trap stop EXIT

# The load generator posts to the class "save" as the tenant "one".
sed -e 's/"ingest"/"save"/' -e 's/"aula-digital"/"one"/' deploy/example/config.json >"$config"

./sagefall stand-in --port "$discovery_port" >/dev/null &
stand_in_pid=$!
LB_CONFIG="$config" LB_LISTEN=127.0.0.1:$sidecar_port \
    java -XX:+UseSerialGC -Xshare:off -XX:DumpLoadedClassList="$list" -XX:TieredStopAtLevel=1 \
    -Dio.netty.allocator.type=unpooled -Dio.netty.leakDetectionLevel=disabled \
    -XX:-UsePerfData -Xms24m -Xmx64m -jar "$sidecar_jar" serve &
sidecar_pid=$!
sleep 8
./sagefall load --port "$sidecar_port" --rate 400 --seconds 8
kill -HUP "$sidecar_pid"
./sagefall load --port "$sidecar_port" --rate 200 --seconds 3
kill -TERM "$sidecar_pid"
wait "$sidecar_pid" || true
sidecar_pid=

{
    echo "# Classes that a serving sidecar loads, for the class data archive that the build makes; a class"
    echo "# that is missing here only loads more slowly. Made by deploy/update-class-list.sh."
    grep -v '^#' "$list"
} >deploy/classes.lst
echo "deploy/classes.lst: $(grep -c '^sagefall/' deploy/classes.lst) classes of this project"
