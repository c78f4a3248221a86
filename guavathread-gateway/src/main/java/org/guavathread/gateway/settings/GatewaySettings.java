package org.guavathread.gateway.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.ColdServers;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.routing.RegionMap;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.settings.SettingException;
import org.kohsuke.args4j.Option;

/** Settings of one daemon. {@link #check()} reports all invalid settings at once. */
public final class GatewaySettings {

    private static final double THOUSANDTHS = 1_000;

    private static final double MAX_CORES = 10_000;

    private static final Set<String> LOG_LEVELS = Set.of("trace", "debug", "info", "warn", "error");

    @Option(name = "--host-id", metaVar = "NAME", usage = "name of this host")
    private String hostId = "";

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre of this host")
    private String dataCentre = "";

    @Option(name = "--cores", metaVar = "N", usage = "speed of this host's processor, in cores; 0 if not known")
    private double cores;

    @Option(name = "--core-share", metaVar = "N", usage = "part of that processor that this host may use")
    private double coreShare = 1;

    @Option(
            name = "--regions",
            metaVar = "DATA-CENTRE=REGION,...",
            usage = "region of each data centre; empty if all lie in one region")
    private String regions = "";

    @Option(name = "--listen-callers", metaVar = "IP:PORT", usage = "address for callers")
    private String listenCallers = "";

    @Option(name = "--listen-ready", metaVar = "IP:PORT", usage = "address for readiness checks")
    private String listenReady = "";

    @Option(name = "--listen-entry", metaVar = "IP:PORT", usage = "address at which callers ask where to connect")
    private String listenEntry = "";

    @Option(name = "--peer-ports", metaVar = "FIRST,LAST", usage = "ports for other hosts; the first one is used")
    private String peerPorts = "";

    @Option(name = "--metrics-port", metaVar = "PORT", usage = "port for metrics")
    private int metricsPort = 9464;

    @Option(name = "--seeds", metaVar = "IP:PORT,...", usage = "other hosts; only the IP numbers are used")
    private String seeds = "";

    @Option(name = "--store", metaVar = "IP:PORT", usage = "store that publishes configuration and backend servers")
    private String store = "";

    @Option(name = "--first-start", metaVar = "BOOL", usage = "true if no other process of this fleet ran before")
    private String firstStart = "true";

    @Option(name = "--retry-ratio", metaVar = "N", usage = "repeated sends allowed for each request, over all hosts")
    private double retryRatio = 0.1;

    @Option(name = "--retry-extra", metaVar = "N", usage = "repeated sends allowed beside those in each window")
    private double retryExtra = 10;

    @Option(name = "--retry-window-seconds", metaVar = "N", usage = "length of that window, in seconds")
    private int retryWindowSeconds = 10;

    @Option(name = "--burst-allowance", metaVar = "N", usage = "tokens allowed beyond each workspace's burst")
    private double burstAllowance;

    @Option(
            name = "--cold-overshoot",
            metaVar = "N",
            usage = "multiple of a cold server's rate that is tolerated in one second; empty if servers are never cold")
    private String coldOvershoot = "";

    @Option(
            name = "--cold-slack",
            metaVar = "N",
            usage = "requests to a cold server that are tolerated beside those; empty for none")
    private String coldSlack = "";

    @Option(
            name = "--prefill-share",
            metaVar = "N",
            usage = "part of the engines that read prompts, 0 to 1; a negative number leaves roles as they are")
    private double prefillShare = 0.25;

    @Option(name = "--entry-lifetime-seconds", metaVar = "N", usage = "how long callers may keep an entry answer")
    private int entryLifetimeSeconds = 2;

    @Option(name = "--drain-seconds", metaVar = "N", usage = "time from SIGTERM to the forced end, in seconds")
    private double drainSeconds = 8;

    @Option(
            name = "--apply-millis",
            metaVar = "N",
            usage = "time within which a change of the store must be in force, in milliseconds")
    private long applyMillis = 2_000;

    @Option(
            name = "--server-report-millis",
            metaVar = "N",
            usage = "interval at which backend servers report to the store, in milliseconds")
    private long serverReportMillis = 1_200;

    @Option(
            name = "--store-history-seconds",
            metaVar = "N",
            usage = "how long the store remembers changes, in seconds; 0 if that is not known")
    private double storeHistorySeconds;

    @Option(
            name = "--warm-up-requests",
            metaVar = "N",
            usage = "sample requests that this host handles by itself before it says that it is ready; 0 for none")
    private int warmUpRequests = 30;

    @Option(
            name = "--warm-up-answer-millis",
            metaVar = "N",
            usage = "the warm-up ends sooner if two sample requests in turn took less, in milliseconds; 0 for never")
    private long warmUpAnswerMillis;

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "trace, debug, info, warn or error")
    private String logLevel = "info";

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    /**
     * Checks all settings.
     *
     * @return these settings
     * @throws SettingException if a setting is invalid; the message lists all faults, one per line
     */
    public GatewaySettings check() {
        List<String> faults = new ArrayList<>();
        note(faults, this::hostId);
        note(faults, this::dataCentre);
        note(faults, this::regions);
        note(faults, this::listenCallers);
        note(faults, this::listenReady);
        note(faults, this::listenEntry);
        note(faults, this::listenPeers);
        note(faults, this::seeds);
        note(faults, this::store);
        note(faults, this::logLevel);
        note(faults, this::coldTolerance);
        if (retryRatio < 0 || retryExtra < 0 || retryWindowSeconds < 1 || burstAllowance < 0) {
            faults.add(
                    "--retry-ratio, --retry-extra, --retry-window-seconds and --burst-allowance cannot be negative.");
        }
        if (cores < 0 || coreShare <= 0) {
            faults.add("--cores cannot be negative, and --core-share must be above 0.");
        }
        if (applyMillis < 100) {
            faults.add("--apply-millis is " + applyMillis + "; it must be at least 100.");
        }
        if (serverReportMillis < 1) {
            faults.add("--server-report-millis is " + serverReportMillis + "; it must be at least 1.");
        }
        if (storeHistorySeconds < 0) {
            faults.add("--store-history-seconds is " + storeHistorySeconds + "; it cannot be negative.");
        }
        if (warmUpRequests < 0) {
            faults.add("--warm-up-requests is " + warmUpRequests + "; it cannot be negative.");
        }
        if (warmUpAnswerMillis < 0) {
            faults.add("--warm-up-answer-millis is " + warmUpAnswerMillis + "; it cannot be negative.");
        }
        if (prefillShare > 1) {
            faults.add("--prefill-share is " + prefillShare + "; it must be at most 1.");
        }
        if (entryLifetimeSeconds < 1 || drainSeconds < 1) {
            faults.add("--entry-lifetime-seconds and --drain-seconds must be at least 1.");
        }
        if (!faults.isEmpty()) {
            throw new SettingException(String.join("\n", faults));
        }
        return this;
    }

    private static void note(List<String> faults, Supplier<?> getter) {
        try {
            getter.get();
        } catch (IllegalArgumentException e) {
            faults.add(e.getMessage());
        }
    }

    /**
     * Returns the name of this host.
     *
     * @return the host
     */
    public HostId hostId() {
        return new HostId(required("--host-id", hostId));
    }

    /**
     * Returns the data centre of this host.
     *
     * @return the data centre
     */
    public DataCentreId dataCentre() {
        return new DataCentreId(required("--data-centre", dataCentre));
    }

    /**
     * Returns what this host's processor can do.
     *
     * @return thousandths of a core; 0 if not known
     */
    public int capacity() {
        return (int) Math.round(Math.min(MAX_CORES, cores * coreShare) * THOUSANDTHS);
    }

    /**
     * Returns the regions of the data centres.
     *
     * @return the regions
     */
    public RegionMap regions() {
        try {
            return RegionMap.parse(regions);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("--regions: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the address for callers.
     *
     * @return the address
     */
    public SocketAddressText listenCallers() {
        return address("--listen-callers", listenCallers);
    }

    /**
     * Returns the address for readiness checks.
     *
     * @return the address
     */
    public SocketAddressText listenReady() {
        return address("--listen-ready", listenReady);
    }

    /**
     * Returns the address at which callers ask where to connect.
     *
     * @return the address
     */
    public SocketAddressText listenEntry() {
        return address("--listen-entry", listenEntry);
    }

    /**
     * Returns the address for other hosts, used for both datagrams and connections.
     *
     * @return the address
     */
    public SocketAddressText listenPeers() {
        return new SocketAddressText(listenCallers().ip(), peerPort());
    }

    private int peerPort() {
        String first = required("--peer-ports", peerPorts).split(",")[0].strip();
        if (!first.matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("--peer-ports is \"" + peerPorts + "\"; write FIRST,LAST.");
        }
        return Integer.parseInt(first);
    }

    /**
     * Returns after how many requests this host is warm.
     *
     * @return number of requests; 0 if it is ready without a warm-up
     */
    public int warmUpRequests() {
        return warmUpRequests;
    }

    /**
     * Returns the time within which a warm host answers a sample request.
     *
     * @return milliseconds; 0 if the warm-up ends after its number of requests only
     */
    public long warmUpAnswerMillis() {
        return warmUpAnswerMillis;
    }

    /**
     * Returns the address for metrics.
     *
     * @return the address
     */
    public SocketAddressText listenMetrics() {
        return new SocketAddressText(listenCallers().ip(), metricsPort);
    }

    /**
     * Returns the seed addresses: the configured IP addresses with the peer port that all hosts share.
     *
     * @return addresses, possibly none
     */
    public List<SocketAddressText> seeds() {
        return Arrays.stream(seeds.split(","))
                .map(String::strip)
                .filter(s -> !s.isEmpty())
                .map(s -> new SocketAddressText(address("--seeds", s).ip(), peerPort()))
                .toList();
    }

    /**
     * Returns the address of the store.
     *
     * @return the address
     */
    public SocketAddressText store() {
        return address("--store", store);
    }

    /**
     * Returns whether no process of this fleet has run before.
     *
     * @return true on the first start of the fleet
     */
    public boolean isFirstStart() {
        return Boolean.parseBoolean(firstStart);
    }

    /**
     * Returns the retry budget's ratio: retries allowed per request, over all hosts.
     *
     * @return retries per request
     */
    public double retryRatio() {
        return retryRatio;
    }

    /**
     * Returns the retries allowed in each window in addition to the ratio.
     *
     * @return retries per window, over all hosts
     */
    public double retryExtra() {
        return retryExtra;
    }

    /**
     * Returns the length of the retry budget's window.
     *
     * @return milliseconds
     */
    public long retryWindowMillis() {
        return retryWindowSeconds * 1_000L;
    }

    /**
     * Returns what servers tolerate while they are cold.
     *
     * @return the tolerance, or empty if servers are never cold
     */
    public Optional<ColdServers.Tolerance> coldTolerance() {
        if (coldOvershoot.isBlank()) {
            return Optional.empty();
        }
        double slack = coldSlack.isBlank() ? 0 : nonNegative("--cold-slack", coldSlack);
        return Optional.of(new ColdServers.Tolerance(nonNegative("--cold-overshoot", coldOvershoot), slack));
    }

    private static double nonNegative(String name, String text) {
        double number;
        try {
            number = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            number = Double.NaN;
        }
        if (!(number >= 0 && number < Double.POSITIVE_INFINITY)) {
            throw new SettingException(name + " is \"" + text + "\"; it must be a number of 0 or more, or empty.");
        }
        return number;
    }

    /**
     * Returns how many tokens may be admitted beyond each workspace's burst.
     *
     * @return tokens
     */
    public double burstAllowance() {
        return burstAllowance;
    }

    /**
     * Returns the share of the engines that should be prefill engines. The default follows from the operators' data sheets:
     * the prefill of 3,200 tokens occupies an engine for 0.1 s, and generating 420 tokens a tenth of an engine for 3.5 s.
     *
     * @return a share from 0 to 1; negative if engine roles are not changed
     */
    public double prefillShare() {
        return prefillShare;
    }

    /**
     * Returns how long callers may cache an entry answer.
     *
     * @return seconds
     */
    public int entryLifetimeSeconds() {
        return entryLifetimeSeconds;
    }

    /**
     * Returns the time from SIGTERM to the forced end of the process.
     *
     * @return milliseconds
     */
    public long drainMillis() {
        return (long) (drainSeconds * 1_000);
    }

    /**
     * Returns the time within which a change of the store must be in force.
     *
     * @return milliseconds
     */
    public long applyMillis() {
        return applyMillis;
    }

    /**
     * Returns how long the store remembers changes.
     *
     * @return milliseconds; 0 if that is not known
     */
    public long storeHistoryMillis() {
        return (long) (storeHistorySeconds * 1_000);
    }

    /**
     * Returns the interval at which backend servers report to the store.
     *
     * @return milliseconds
     */
    public long serverReportMillis() {
        return serverReportMillis;
    }

    /**
     * Returns the minimum level of free-text log lines.
     *
     * @return the level
     */
    public String logLevel() {
        String level = logLevel.toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            throw new IllegalArgumentException("--log-level is \"" + logLevel + "\"; use one of " + LOG_LEVELS + ".");
        }
        return level;
    }

    /**
     * Returns whether help was requested.
     *
     * @return true with {@code --help}
     */
    public boolean isHelp() {
        return help;
    }

    private static String required(String flag, String value) {
        if (value.isBlank()) {
            throw new IllegalArgumentException(flag + " is missing.");
        }
        return value;
    }

    private static SocketAddressText address(String flag, String value) {
        try {
            return SocketAddressText.parse(required(flag, value));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(value.isBlank() ? e.getMessage() : flag + ": " + e.getMessage(), e);
        }
    }
}
