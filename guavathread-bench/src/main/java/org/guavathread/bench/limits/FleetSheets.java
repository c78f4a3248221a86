package org.guavathread.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.sheet.Workspace;

/** Builds the sheets of simulated fleets: one region with four data centres and one workspace. */
final class FleetSheets {

    static final WorkspaceId WORKSPACE = new WorkspaceId("w1");
    private static final int DATA_CENTRES = 4;
    private static final RegionId REGION = new RegionId("maule");

    private FleetSheets() {}

    static HostId host(int number) {
        return new HostId("h" + number);
    }

    static Sheet sheet(long version, List<Integer> activeHosts, long rate, long burst) {
        List<DataCentre> dataCentres = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            dataCentres.add(new DataCentre(new DataCentreId("dc" + i), REGION));
        }
        List<Host> hosts = new ArrayList<>();
        for (int number : activeHosts) {
            SocketAddressText address = SocketAddressText.parse("127.0.0.1:" + (9000 + number));
            DataCentreId dataCentre = dataCentres.get(number % DATA_CENTRES).id();
            hosts.add(new Host(host(number), dataCentre, address, address, address, AdminState.ACTIVE));
        }
        return Sheet.builder()
                .version(new SheetVersion(version))
                .dataCentres(dataCentres)
                .hosts(hosts)
                .workspaces(List.of(new Workspace(WORKSPACE, List.of(), rate, burst, Optional.of(REGION))))
                .build();
    }
}
