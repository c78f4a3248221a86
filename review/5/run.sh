#!/bin/sh
# Clients send paths that hold a parameter named jsessionid; with TROUBLE=0, one of another name.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review PathParameters review/5
