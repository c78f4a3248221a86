package org.guavathread.bench.overhead;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Route;
import org.guavathread.core.sheet.RouteTarget;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetWriter;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.sheet.Workspace;
import org.guavathread.router.Clocks;
import org.guavathread.router.Daemon;
import org.guavathread.router.settings.DaemonSettings;
import org.guavathread.standin.FakeConfigService;
import org.guavathread.standin.FakeHostList;
import org.guavathread.standin.FakePlainService;

/** Daemons in this process with one plain service as their backend server. */
final class LocalFleet implements AutoCloseable {

    static final String API_KEY = "bench-key";

    private static final String PATH = "/v1/services/lookup";
    private static final long READY_TIMEOUT_MILLIS = 60_000;

    private final FakeConfigService configService;
    private final FakeHostList hostList;
    private final FakePlainService service;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();

    private LocalFleet() throws IOException {
        configService = FakeConfigService.builder().start();
        hostList = FakeHostList.builder().start();
        service = FakePlainService.builder().runMillis(0).start();
    }

    static LocalFleet start(int count) throws IOException {
        LocalFleet fleet = new LocalFleet();
        for (int i = 0; i < count; i++) {
            Host host = new Host(
                    new HostId("h" + i),
                    new DataCentreId("dc"),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    AdminState.ACTIVE);
            fleet.hosts.add(host);
            fleet.hostList.put(host.id().value(), "live", host.peers().toString());
        }
        fleet.configService.put("sheet", 1, new String(SheetWriter.write(fleet.sheet()), StandardCharsets.UTF_8));
        for (Host host : fleet.hosts) {
            Daemon daemon = new Daemon(fleet.settings(host), Clocks.monotonic(), code -> {});
            daemon.start();
            fleet.daemons.add(daemon);
        }
        fleet.awaitReady();
        return fleet;
    }

    URI serviceUri() {
        return URI.create("http://" + service.address() + PATH);
    }

    URI routedUri() {
        return URI.create("http://" + hosts.get(0).callers() + PATH);
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::stop);
        service.close();
        hostList.close();
        configService.close();
    }

    private Sheet sheet() {
        BackendServer lookup = new BackendServer(
                new BackendServerId("lookup"),
                BackendKind.SERVICE,
                new DataCentreId("dc"),
                SocketAddressText.parse(service.address()),
                AdminState.ACTIVE,
                List.of(),
                false,
                0,
                1);
        Route route = new Route(
                new RouteId("lookup"),
                PATH,
                RequestKind.IDEMPOTENT,
                RouteTarget.SERVICE,
                List.of(lookup.id()),
                List.of(),
                false,
                false,
                5_000,
                1);
        Workspace workspace = new Workspace(
                new WorkspaceId("bench"), List.of(KeyHash.ofKey(API_KEY)), 1_000_000, 1_000_000, Optional.empty());
        return Sheet.builder()
                .version(new SheetVersion(1))
                .dataCentres(List.of(new DataCentre(new DataCentreId("dc"), new RegionId("r"))))
                .hosts(hosts)
                .workspaces(List.of(workspace))
                .backendServers(List.of(lookup))
                .routes(List.of(route))
                .build();
    }

    private DaemonSettings settings(Host host) {
        return new DaemonSettings()
                .hostId(host.id().value())
                .dataCentre(host.dataCentre().value())
                .listenCallers(host.callers().toString())
                .listenPeers(host.peers().toString())
                .listenAdmin(host.admin().toString())
                .configService("http://" + configService.address())
                .hostList("http://" + hostList.address());
    }

    /** Waits until budget can be taken, which needs the first lease and a refilled bucket. */
    private void awaitReady() {
        long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (!daemons.stream().allMatch(Daemon::holdsSettledLease)) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new IllegalStateException("The daemons hold no lease after " + READY_TIMEOUT_MILLIS + " ms.");
            }
            pause(100);
        }
        pause(2_000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static SocketAddressText freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new SocketAddressText("127.0.0.1", socket.getLocalPort());
        }
    }
}
