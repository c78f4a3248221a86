package org.guavathread.bench.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.guavathread.core.config.ConfigAction;
import org.guavathread.core.config.ServiceAnswer;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetWriter;

/** Simulated configuration service in virtual time, with plain reads and long polls. */
public final class SimulatedConfigService {

    private static final int POLL_STEP_MILLIS = 20;
    private static final int TIMEOUT_MILLIS = 1_000;

    private final VirtualNetwork network;
    private final Random random;
    private final List<Sheet> published = new ArrayList<>();
    private final List<byte[]> documents = new ArrayList<>();
    private final List<Long> callTimes = new ArrayList<>();
    private Predicate<HostId> reachable = host -> true;
    private Predicate<HostId> stale = host -> false;
    private int staleIndex;
    private long bytesServed;

    SimulatedConfigService(VirtualNetwork network, Random random) {
        this.network = network;
        this.random = random;
    }

    void publish(Sheet sheet) {
        published.add(sheet);
        documents.add(SheetWriter.write(sheet));
    }

    /**
     * Sets which hosts can read the service.
     *
     * @param predicate tells whether calls of a host succeed
     */
    public void reachableFor(Predicate<HostId> predicate) {
        reachable = predicate;
    }

    /**
     * Lets some hosts read from a stale replica.
     *
     * @param predicate tells whether a host reads from the stale replica
     * @param versionsBehind how many versions the replica misses; it gets no newer ones
     */
    public void staleFor(Predicate<HostId> predicate, int versionsBehind) {
        stale = predicate;
        staleIndex = Math.max(0, published.size() - 1 - versionsBehind);
    }

    Sheet newest() {
        return published.get(published.size() - 1);
    }

    long bytesServed() {
        return bytesServed;
    }

    /**
     * Counts calls.
     *
     * @param fromMillis start of the period
     * @param toMillis end of the period
     * @return calls that arrived within it
     */
    public long calls(long fromMillis, long toMillis) {
        return callTimes.stream()
                .filter(at -> at >= fromMillis && at < toMillis)
                .count();
    }

    /**
     * Gives the largest number of calls within any second.
     *
     * @param fromMillis start of the period
     * @param toMillis end of the period
     * @return calls per second
     */
    public long peakCalls(long fromMillis, long toMillis) {
        long peak = 0;
        int first = 0;
        for (int i = 0; i < callTimes.size(); i++) {
            while (callTimes.get(first) <= callTimes.get(i) - 1_000) {
                first++;
            }
            if (callTimes.get(i) >= fromMillis && callTimes.get(i) < toMillis) {
                peak = Math.max(peak, i - first + 1L);
            }
        }
        return peak;
    }

    void call(HostId host, ConfigAction.ReadService read, Consumer<ServiceAnswer> reply) {
        callTimes.add(network.nowMillis());
        if (!reachable.test(host)) {
            network.after(random.nextInt(TIMEOUT_MILLIS), () -> reply.accept(new ServiceAnswer.Failed()));
            return;
        }
        poll(host, read, network.nowMillis() + read.waitMillis(), reply);
    }

    private void poll(HostId host, ConfigAction.ReadService read, long deadlineMillis, Consumer<ServiceAnswer> reply) {
        if (!reachable.test(host)) {
            reply.accept(new ServiceAnswer.Failed());
            return;
        }
        int index = stale.test(host) ? staleIndex : published.size() - 1;
        boolean newer = index >= 0 && published.get(index).version().isNewerThan(read.after());
        if (newer) {
            bytesServed += documents.get(index).length;
            byte[] document = documents.get(index);
            network.after(1 + random.nextInt(3), () -> reply.accept(new ServiceAnswer.Value(document)));
        } else if (network.nowMillis() >= deadlineMillis) {
            reply.accept(new ServiceAnswer.Unchanged());
        } else {
            network.after(POLL_STEP_MILLIS, () -> poll(host, read, deadlineMillis, reply));
        }
    }
}
