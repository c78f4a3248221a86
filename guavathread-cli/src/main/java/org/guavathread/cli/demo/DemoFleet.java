package org.guavathread.cli.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.guavathread.router.Clocks;
import org.guavathread.router.Daemon;
import org.guavathread.router.settings.DaemonSettings;
import org.guavathread.standin.FakeConfigService;
import org.guavathread.standin.FakeDecodeEngine;
import org.guavathread.standin.FakeHostList;
import org.guavathread.standin.FakePlainService;
import org.guavathread.standin.FakePrefillEngine;
import org.guavathread.standin.Standin;

/** Three daemons and stand-ins for the backend servers and the platform, in this process and on loopback addresses. */
final class DemoFleet implements AutoCloseable {

    static final List<String> DATA_CENTRES = List.of("curico", "talca", "linares");

    /** Workspace with a steady load far below its rate. */
    static final DemoWorkspace ORCHARDS = new DemoWorkspace("orchards", 1_000, 4_000, "orchards-key");

    /** Workspace whose bursts are five times its rate. */
    static final DemoWorkspace BUYERS = new DemoWorkspace("buyers", 100, 200, "buyers-key");

    /** Second API key of {@link #ORCHARDS}; version 2 of the sheet withdraws it. */
    static final String WITHDRAWN_KEY = "orchards-old-key";

    /** About the memory that a decode engine has available at peak load. */
    private static final int MEMORY_PIECES = 20;

    private static final long MICROS_PER_PROMPT_TOKEN = 100;
    private static final long MILLIS_PER_TOKEN = 5;
    private static final int PORTS_PER_HOST = 3;

    private final List<FakePrefillEngine> prefillEngines = new ArrayList<>();
    private final List<FakeDecodeEngine> decodeEngines = new ArrayList<>();
    private final List<FakePlainService> plainServices = new ArrayList<>();
    private final List<Standin> standins = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final Set<Integer> killed = new HashSet<>();
    private final AtomicBoolean dutyFailed = new AtomicBoolean();
    private FakeConfigService configService;
    private FakeHostList hostList;

    /**
     * A workspace of the demo.
     *
     * @param name id in the sheet
     * @param rate tokens a second
     * @param burst burst allowance, in tokens
     * @param key API key
     */
    record DemoWorkspace(String name, long rate, long burst, String key) {}

    DemoFleet start() throws IOException {
        for (int i = 0; i < 2; i++) {
            prefillEngines.add(register(FakePrefillEngine.builder()
                    .models(DemoSheet.MODEL)
                    .microsPerToken(MICROS_PER_PROMPT_TOKEN)
                    .start()));
            decodeEngines.add(register(FakeDecodeEngine.builder()
                    .models(DemoSheet.MODEL)
                    .memoryPieces(MEMORY_PIECES)
                    .millisPerToken(MILLIS_PER_TOKEN)
                    .start()));
            plainServices.add(register(FakePlainService.builder().runMillis(1).start()));
        }
        configService = register(FakeConfigService.builder().start());
        hostList = register(FakeHostList.builder().start());
        addresses.addAll(freeAddresses(DATA_CENTRES.size() * PORTS_PER_HOST));
        publish(1, List.of(ORCHARDS.key(), WITHDRAWN_KEY));
        for (int i = 0; i < DATA_CENTRES.size(); i++) {
            hostList.put(hostId(i), "live", peerAddress(i));
            Daemon daemon = new Daemon(settings(i), Clocks.monotonic(), code -> dutyFailed.set(true));
            daemons.add(daemon);
            daemon.start();
        }
        return this;
    }

    void publish(long version, List<String> orchardsKeys) {
        DemoSheet sheet = new DemoSheet().version(version);
        for (int i = 0; i < DATA_CENTRES.size(); i++) {
            sheet.host(DATA_CENTRES.get(i), callerAddress(i), peerAddress(i), adminAddress(i));
        }
        sheet.workspace(ORCHARDS.name(), ORCHARDS.rate(), ORCHARDS.burst(), orchardsKeys)
                .workspace(BUYERS.name(), BUYERS.rate(), BUYERS.burst(), List.of(BUYERS.key()));
        for (int i = 0; i < 2; i++) {
            String dataCentre = DATA_CENTRES.get(i);
            sheet.engine(
                            "prefill-" + (i + 1),
                            "prefill",
                            dataCentre,
                            prefillEngines.get(i).address(),
                            0)
                    .engine(
                            "decode-" + (i + 1),
                            "decode",
                            dataCentre,
                            decodeEngines.get(i).address(),
                            MEMORY_PIECES)
                    .service(
                            "service-" + (i + 1),
                            dataCentre,
                            plainServices.get(i).address());
        }
        configService.put("sheet", version, sheet.json());
    }

    /** Stops a daemon at once, as if its process were killed. */
    void kill(int host) {
        if (killed.add(host)) {
            daemons.get(host).stop();
        }
    }

    /** Tells whether a daemon would have exited because one of its duties failed too often. */
    boolean hasDutyFailed() {
        return dutyFailed.get();
    }

    String hostId(int index) {
        return DemoSheet.hostId(DATA_CENTRES.get(index));
    }

    String callerAddress(int host) {
        return addresses.get(host * PORTS_PER_HOST);
    }

    String adminAddress(int host) {
        return addresses.get(host * PORTS_PER_HOST + 2);
    }

    private String peerAddress(int host) {
        return addresses.get(host * PORTS_PER_HOST + 1);
    }

    int size() {
        return daemons.size();
    }

    /** Counts how often the plain services ran the request with this idempotency key. */
    int runCount(String idempotencyKey) {
        return plainServices.stream()
                .mapToInt(service -> service.runsWith("Idempotency-Key", idempotencyKey))
                .sum();
    }

    /** Delays every call of a plain service before it runs. */
    void delayServices(long millis) {
        plainServices.forEach(service -> service.faults().delayMillis(millis));
    }

    int prefillRuns() {
        return prefillEngines.stream().mapToInt(Standin::totalRuns).sum();
    }

    int usedPrefillRuns() {
        return prefillEngines.stream().mapToInt(FakePrefillEngine::exports).sum();
    }

    int usedPieces() {
        return decodeEngines.stream().mapToInt(FakeDecodeEngine::usedPieces).sum();
    }

    /** Tells whether any stand-in has received a text, for example an API key. */
    boolean anyStandinReceived(String text) {
        return standins.stream().anyMatch(s -> s.received().everContained(text));
    }

    private DaemonSettings settings(int host) {
        return new DaemonSettings()
                .hostId(hostId(host))
                .dataCentre(DATA_CENTRES.get(host))
                .listenCallers(callerAddress(host))
                .listenPeers(peerAddress(host))
                .listenAdmin(adminAddress(host))
                .configService("http://" + configService.address())
                .hostList("http://" + hostList.address());
    }

    private <T extends Standin> T register(T standin) {
        standins.add(standin);
        return standin;
    }

    /** Opens all sockets before it closes the first one, so that no port is returned twice. */
    private static List<String> freeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    @Override
    public void close() {
        for (int i = 0; i < daemons.size(); i++) {
            kill(i);
        }
        standins.forEach(Standin::close);
    }
}
