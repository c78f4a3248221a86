package org.guavathread.core.config;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.ServiceContact;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a restarted host that never reads the service because its peers report that they read it. */
class StartWithoutSheetTest {

    private static final long START = 1_000_000;

    @Test
    void hostWithoutSheetReadsTheServiceAlthoughOthersDo() {
        HostId other = new HostId("other");
        ConfigDistributor distributor =
                new ConfigDistributor(new HostId("self"), new Random(1), START).hostList(List.of());
        PeerReport report = new PeerReport(
                new Incarnation(1), new SheetVersion(7), false, 0, Optional.of(new ServiceContact(other, 0)));
        boolean read = false;
        for (long now = START; now < START + 10_000; now += 100) {
            distributor.onPeerReport(other, report, now);
            read |= distributor.onTick(now).stream().anyMatch(ConfigAction.ReadService.class::isInstance);
        }
        assertTrue(read, "the host must call the service while it has no sheet");
    }
}
