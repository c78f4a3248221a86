package org.guavathread.bench.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.guavathread.core.config.SheetChunk;
import org.guavathread.core.config.SheetOffer;
import org.guavathread.core.config.SheetRequest;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.membership.Heartbeat;
import org.guavathread.core.membership.HeartbeatAck;
import org.guavathread.core.membership.WitnessPing;
import org.guavathread.core.membership.WitnessReply;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/**
 * Simulates a fleet in virtual time.
 *
 * <pre>{@code
 * FleetSimulator fleet = new FleetSimulator(1, 0).publish(sheet).startAll();
 * fleet.run(15_000);
 * }</pre>
 */
public final class FleetSimulator {

    /** Size of a frame's length prefix. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private final Random random;
    private final VirtualNetwork network;
    private final SimulatedConfigService service;
    private final double clockDrift;
    private final Map<HostId, SimulatedHost> hosts = new TreeMap<>();
    private final Map<HostId, Long> bytesByHost = new HashMap<>();
    private final List<String> regressions = new ArrayList<>();
    private final Map<HostId, SheetVersion> newestInForce = new HashMap<>();
    private final FrameCodec codec = new FrameCodec(new MessageRegistry()
            .register(1, Heartbeat.class)
            .register(2, HeartbeatAck.class)
            .register(3, WitnessPing.class)
            .register(4, WitnessReply.class)
            .register(5, SheetOffer.class)
            .register(6, SheetRequest.class)
            .register(7, SheetChunk.class));
    private boolean measureBytes;

    /**
     * Builds an empty fleet.
     *
     * @param seed seed of all random numbers
     * @param clockDrift largest relative error in the rate of a host's clock, for example 0.03
     */
    public FleetSimulator(long seed, double clockDrift) {
        this.random = new Random(seed);
        this.clockDrift = clockDrift;
        this.network = new VirtualNetwork(random);
        this.service = new SimulatedConfigService(network, random);
    }

    /**
     * Encodes and decodes every message to count its bytes, which is slower.
     *
     * @return this fleet
     */
    public FleetSimulator measuringBytes() {
        measureBytes = true;
        return this;
    }

    public VirtualNetwork network() {
        return network;
    }

    public SimulatedConfigService service() {
        return service;
    }

    /**
     * Publishes a sheet at the configuration service.
     *
     * @param sheet the sheet
     * @return this fleet
     */
    public FleetSimulator publish(Sheet sheet) {
        service.publish(sheet);
        return this;
    }

    /**
     * Starts all hosts of the newest sheet that are not running.
     *
     * @return this fleet
     */
    public FleetSimulator startAll() {
        service.newest().hosts().keySet().stream()
                .filter(h -> !hosts.containsKey(h))
                .forEach(this::start);
        return this;
    }

    /**
     * Starts a host with empty memory, after killing it if it is running.
     *
     * @param host the host
     */
    public void start(HostId host) {
        kill(host);
        List<HostId> hostList = new ArrayList<>(service.newest().hosts().keySet());
        hosts.put(host, new SimulatedHost(host, this, hostList, random, clockDrift));
    }

    /**
     * Kills a host.
     *
     * @param host the host
     */
    public void kill(HostId host) {
        SimulatedHost running = hosts.remove(host);
        if (running != null) {
            running.stop();
        }
    }

    /**
     * Advances the virtual clock and runs the events that become due.
     *
     * @param millis how long
     * @return this fleet
     */
    public FleetSimulator run(long millis) {
        network.runUntil(network.nowMillis() + millis);
        return this;
    }

    void send(HostId from, HostId to, PeerMessage message) {
        PeerMessage sent = measureBytes ? encodeAndDecode(from, to, message) : message;
        network.send(from, to, () -> {
            SimulatedHost receiver = hosts.get(to);
            if (receiver != null) {
                receiver.deliver(from, sent);
            }
        });
    }

    private PeerMessage encodeAndDecode(HostId from, HostId to, PeerMessage message) {
        byte[] bytes = codec.encode(new Frame(1, false, message));
        long size = bytes.length + LENGTH_PREFIX_BYTES;
        bytesByHost.merge(from, size, Long::sum);
        bytesByHost.merge(to, size, Long::sum);
        return codec.decode(bytes).message();
    }

    void recordInForce(HostId host, SheetVersion version) {
        SheetVersion before = newestInForce.getOrDefault(host, SheetVersion.NONE);
        if (before.isNewerThan(version)) {
            regressions.add(host + " went from " + before + " to " + version + " at " + network.nowMillis());
        } else {
            newestInForce.put(host, version);
        }
    }

    /**
     * Lists the cases in which a host put an older version in force than it had before, over all runs of each host.
     *
     * @return descriptions
     */
    public List<String> regressions() {
        return regressions;
    }

    public Collection<SimulatedHost> hosts() {
        return hosts.values();
    }

    /**
     * Gives a running host.
     *
     * @param id the host
     * @return the host, or null if it is not running
     */
    public SimulatedHost host(HostId id) {
        return hosts.get(id);
    }

    /**
     * Tells whether a version is in force on all running hosts.
     *
     * @param version the version
     * @return true if it is in force on each of them
     */
    public boolean isInForceEverywhere(SheetVersion version) {
        return hosts.values().stream().allMatch(h -> h.version().equals(version));
    }

    /**
     * Gives the largest number of bytes that a host sent and received together.
     *
     * @return bytes since the last {@link #resetBytes}
     */
    public long maxBytesPerHost() {
        return bytesByHost.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /**
     * Gives the bytes that an average host sent and received together.
     *
     * @return bytes since the last {@link #resetBytes}
     */
    public long meanBytesPerHost() {
        long total = bytesByHost.values().stream().mapToLong(Long::longValue).sum();
        return hosts.isEmpty() ? 0 : total / hosts.size();
    }

    /** Resets the byte counters. */
    public void resetBytes() {
        bytesByHost.clear();
    }
}
