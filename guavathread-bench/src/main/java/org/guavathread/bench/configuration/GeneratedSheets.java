package org.guavathread.bench.configuration;

import java.util.ArrayList;
import java.util.Collection;
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
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.sheet.Workspace;

/** Generates sheets of a given size. */
public final class GeneratedSheets {

    private static final int PORTS_OF_A_HOST = 3;
    private static final int BASE_PORT = 2_000;

    private GeneratedSheets() {}

    /**
     * Builds a sheet.
     *
     * @param version its version
     * @param hosts number of hosts, which are named {@code h0}, {@code h1} and so on
     * @param inactive indexes of hosts whose state is leaving
     * @param dataCentres number of data centres; host i is in data centre i modulo this number
     * @param regions number of regions; data centre i is in region i modulo this number
     * @param workspaces number of workspaces
     * @return the sheet
     */
    public static Sheet sheet(
            long version, int hosts, Collection<Integer> inactive, int dataCentres, int regions, int workspaces) {
        List<DataCentre> dataCentreList = new ArrayList<>();
        for (int i = 0; i < dataCentres; i++) {
            dataCentreList.add(new DataCentre(new DataCentreId("dc" + i), new RegionId("r" + i % regions)));
        }
        List<Host> hostList = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            AdminState state = inactive.contains(i) ? AdminState.LEAVING : AdminState.ACTIVE;
            int port = BASE_PORT + PORTS_OF_A_HOST * i;
            hostList.add(new Host(
                    host(i),
                    new DataCentreId("dc" + i % dataCentres),
                    localAddress(port),
                    localAddress(port + 1),
                    localAddress(port + 2),
                    state));
        }
        List<Workspace> workspaceList = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            long rate = i == 0 ? 1_000 + version : 2_000;
            List<KeyHash> keys = List.of(KeyHash.ofKey("key-" + i));
            workspaceList.add(new Workspace(new WorkspaceId("workspace-" + i), keys, rate, 8_000, Optional.empty()));
        }
        return Sheet.builder()
                .version(new SheetVersion(version))
                .dataCentres(dataCentreList)
                .hosts(hostList)
                .workspaces(workspaceList)
                .build();
    }

    /**
     * Names a host.
     *
     * @param index its index
     * @return its name
     */
    public static HostId host(int index) {
        return new HostId("h" + index);
    }

    private static SocketAddressText localAddress(int port) {
        return new SocketAddressText("127.0.0.1", port);
    }
}
