#!/bin/sh
# Builds the stand-ins of the cases into review/target. Needs a JDK 17 and nothing else.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/target"
mkdir -p "$here/target/classes"
exec javac -d "$here/target/classes" "$here"/standin/*.java
