#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the JDK alone, into review/stand-ins-2/target.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/stand-ins-2/target"
mkdir -p "$here/stand-ins-2/target"
javac --release 17 -encoding UTF-8 -d "$here/stand-ins-2/target" "$here"/stand-ins-2/*.java "$here"/*/Case*.java
