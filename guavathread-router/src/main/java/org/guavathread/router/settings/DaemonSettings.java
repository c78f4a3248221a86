package org.guavathread.router.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;
import org.kohsuke.args4j.Option;

/**
 * Settings of one daemon. Each getter validates its value, and {@link #check()} validates all of them.
 *
 * <pre>{@code
 * DaemonSettings settings = new DaemonSettings().hostId("curico-1").dataCentre("curico");
 * }</pre>
 */
public final class DaemonSettings {

    private static final Set<String> LOG_LEVELS = Set.of("trace", "debug", "info", "warn", "error");
    private static final int MIN_DRAIN_DEADLINE_MILLIS = 1_000;
    private static final int MAX_DRAIN_DEADLINE_MILLIS = 3_600_000;

    @Option(name = "--host-id", metaVar = "NAME", usage = "name of this host, as the sheet lists it")
    private String hostId;

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre of this host, as the sheet lists it")
    private String dataCentre;

    @Option(name = "--listen-callers", metaVar = "IP:PORT", usage = "address for callers")
    private String listenCallers;

    @Option(name = "--listen-peers", metaVar = "IP:PORT", usage = "address for the other hosts")
    private String listenPeers;

    @Option(name = "--listen-admin", metaVar = "IP:PORT", usage = "address for metrics and operators")
    private String listenAdmin;

    @Option(name = "--config-service", metaVar = "URL", usage = "configuration service, http://IP:PORT")
    private String configService;

    @Option(name = "--host-list", metaVar = "URL", usage = "list of live and leaving hosts, http://IP:PORT")
    private String hostList;

    @Option(
            name = "--weight-store",
            metaVar = "URL",
            usage = "weight store, http://IP:PORT; paces loads if it is given")
    private String weightStore;

    @Option(
            name = "--drain-deadline-millis",
            metaVar = "N",
            usage = "how long running requests may take after SIGTERM, in milliseconds")
    private int drainDeadlineMillis = 60_000;

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "trace, debug, info, warn or error")
    private String logLevel = "info";

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean version;

    /**
     * Validates all settings.
     *
     * @return these settings
     * @throws SettingException with all settings that are missing or invalid, one per line
     */
    public DaemonSettings check() {
        List<Supplier<?>> getters = List.of(
                this::hostId,
                this::dataCentre,
                this::listenCallers,
                this::listenPeers,
                this::listenAdmin,
                this::configService,
                this::hostList,
                this::weightStore,
                this::drainDeadlineMillis,
                this::logLevel);
        List<String> faults = new ArrayList<>();
        for (Supplier<?> getter : getters) {
            try {
                getter.get();
            } catch (SettingException e) {
                faults.add(e.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingException(String.join("\n", faults));
        }
        return this;
    }

    public HostId hostId() {
        return new HostId(requiredName("--host-id", hostId));
    }

    public DataCentreId dataCentre() {
        return new DataCentreId(requiredName("--data-centre", dataCentre));
    }

    public SocketAddressText listenCallers() {
        return address("--listen-callers", listenCallers);
    }

    public SocketAddressText listenPeers() {
        return address("--listen-peers", listenPeers);
    }

    public SocketAddressText listenAdmin() {
        return address("--listen-admin", listenAdmin);
    }

    public SocketAddressText configService() {
        return urlAddress("--config-service", configService);
    }

    public SocketAddressText hostList() {
        return urlAddress("--host-list", hostList);
    }

    /**
     * Gives the address of the weight store.
     *
     * @return the address, or empty if none is set
     */
    public Optional<SocketAddressText> weightStore() {
        return Optional.ofNullable(weightStore).map(value -> urlAddress("--weight-store", value));
    }

    /**
     * Gives the time that requests in progress have to finish after SIGTERM.
     *
     * @return milliseconds
     * @throws SettingException if it is shorter than 1 s or longer than an hour
     */
    public int drainDeadlineMillis() {
        if (drainDeadlineMillis < MIN_DRAIN_DEADLINE_MILLIS || drainDeadlineMillis > MAX_DRAIN_DEADLINE_MILLIS) {
            throw SettingException.of(
                    "--drain-deadline-millis",
                    Integer.toString(drainDeadlineMillis),
                    MIN_DRAIN_DEADLINE_MILLIS + " to " + MAX_DRAIN_DEADLINE_MILLIS);
        }
        return drainDeadlineMillis;
    }

    /**
     * Gives the minimum log level.
     *
     * @return the level in lower case
     * @throws SettingException if it is not a known level
     */
    public String logLevel() {
        String level = String.valueOf(logLevel).toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            throw SettingException.of("--log-level", logLevel, "trace, debug, info, warn, error");
        }
        return level;
    }

    public boolean isHelp() {
        return help;
    }

    public boolean isVersion() {
        return version;
    }

    public DaemonSettings hostId(String value) {
        hostId = value;
        return this;
    }

    public DaemonSettings dataCentre(String value) {
        dataCentre = value;
        return this;
    }

    public DaemonSettings listenCallers(String value) {
        listenCallers = value;
        return this;
    }

    public DaemonSettings listenPeers(String value) {
        listenPeers = value;
        return this;
    }

    public DaemonSettings listenAdmin(String value) {
        listenAdmin = value;
        return this;
    }

    public DaemonSettings configService(String value) {
        configService = value;
        return this;
    }

    public DaemonSettings hostList(String value) {
        hostList = value;
        return this;
    }

    public DaemonSettings weightStore(String value) {
        weightStore = value;
        return this;
    }

    public DaemonSettings drainDeadlineMillis(int value) {
        drainDeadlineMillis = value;
        return this;
    }

    private static String requiredName(String name, String value) {
        if (value == null || !value.matches("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")) {
            throw SettingException.of(
                    name, value, "a name as in the sheet: letters, digits and . _ : / -, at most 128 characters");
        }
        return value;
    }

    private static SocketAddressText address(String name, String value) {
        try {
            return SocketAddressText.parse(value);
        } catch (IllegalArgumentException e) {
            throw SettingException.of(name, value, "IP:port with a port from 1 to 65535, for example 127.0.0.1:8080");
        }
    }

    private static SocketAddressText urlAddress(String name, String value) {
        try {
            URI uri = URI.create(String.valueOf(value));
            boolean plain = uri.getPath() == null || uri.getPath().isEmpty() || "/".equals(uri.getPath());
            if ("http".equals(uri.getScheme()) && plain) {
                return SocketAddressText.parse(uri.getRawAuthority());
            }
        } catch (IllegalArgumentException e) {
            throw SettingException.of(name, value, "http://IP:port, for example http://127.0.0.1:8500");
        }
        throw SettingException.of(name, value, "http://IP:port, for example http://127.0.0.1:8500");
    }
}
