#!/bin/sh
# Builds the stand-ins of the cases. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -Werror -d target/review review/standin/*.java
