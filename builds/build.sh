#!/bin/sh
# Builds the stand-ins for runs of two builds. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/builds
javac -Xlint:all -Werror -d target/builds builds/*.java
