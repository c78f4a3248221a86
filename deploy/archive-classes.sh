#!/bin/sh
# Writes target/gateway.jsa, the class data archive that the daemon's processes share (see ClassArchiveTraining). Without
# the archive the daemon starts as well, in half as much processor time again, so a failure here does not fail the build.
cd "$(dirname "$0")/.." || exit 0
rm -f target/gateway.jsa
java -Xmx64m -Xss256k -XX:+UseSerialGC -XX:-UsePerfData -Djava.locale.providers=COMPAT -Dsun.reflect.inflationThreshold=2000 -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m \
    -XX:MaxMetaspaceSize=64m -Xlog:disable -Xlog:cds=off -XX:ArchiveClassesAtExit=target/gateway.jsa \
    -cp 'target/deploy/*' org.guavathread.platform.ClassArchiveTraining >target/gateway-archive.log 2>&1
test -f target/gateway.jsa || echo "target/gateway.jsa was not written; see target/gateway-archive.log" >&2
exit 0
