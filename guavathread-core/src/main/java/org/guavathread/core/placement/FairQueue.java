package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;

/**
 * The queue of a cell: priority bands, and within them start-time fair queueing over workspaces, measured in tokens.
 *
 * <p>Priority may move a workspace ahead of its fair share only by a bounded number of tokens, so that urgent requests
 * of one workspace cannot starve deferrable requests of another.
 */
final class FairQueue {

    private static final int PERCENT = 100;

    /** Priority bands, highest priority first. */
    enum Band {
        /** Requests that are not deferrable and can still meet the latency target. */
        FAST,
        /** Deferrable requests that can still meet the latency target. */
        DEFERRABLE,
        /** Requests that can no longer meet the latency target; a small share of grants while others wait. */
        LATE
    }

    /** One waiting request. */
    static final class Item {
        private final PlaceRequest request;
        private final int expectedOutput;
        private final int pieces;
        private final long lateAtMillis;
        private final long refuseAtMillis;
        private long order;
        private Band band;

        Item(PlaceRequest request, int expectedOutput, int pieces, long lateAtMillis, long refuseAtMillis) {
            this.request = request;
            this.expectedOutput = expectedOutput;
            this.pieces = pieces;
            this.lateAtMillis = lateAtMillis;
            this.refuseAtMillis = refuseAtMillis;
            band = request.kind().priorityClass() == 0 ? Band.FAST : Band.DEFERRABLE;
        }

        PlaceRequest request() {
            return request;
        }

        int expectedOutput() {
            return expectedOutput;
        }

        int pieces() {
            return pieces;
        }

        /** Returns whether the request can no longer meet the latency target. */
        boolean isLate() {
            return band == Band.LATE;
        }

        long refuseAtMillis() {
            return refuseAtMillis;
        }

        private int cost() {
            return request.promptTokens() + expectedOutput;
        }
    }

    private static final Comparator<Item> BY_TARGET =
            Comparator.<Item>comparingLong(i -> i.lateAtMillis).thenComparingLong(i -> i.order);
    private static final Comparator<Item> BY_DEADLINE =
            Comparator.<Item>comparingLong(i -> i.request.deadlineMillis()).thenComparingLong(i -> i.order);
    private static final Comparator<Item> BY_REFUSAL =
            Comparator.<Item>comparingLong(i -> i.refuseAtMillis).thenComparingLong(i -> i.order);

    private static final class Flow {
        private final WorkspaceId workspace;
        private final Map<Band, TreeSet<Item>> bands = new EnumMap<>(Band.class);
        private double tag;

        private Flow(WorkspaceId workspace) {
            this.workspace = workspace;
            bands.put(Band.FAST, new TreeSet<>(BY_TARGET));
            bands.put(Band.DEFERRABLE, new TreeSet<>(BY_TARGET));
            bands.put(Band.LATE, new TreeSet<>(BY_DEADLINE));
        }

        private TreeSet<Item> in(Band band) {
            return bands.get(band);
        }

        private boolean hasTimely() {
            return !in(Band.FAST).isEmpty() || !in(Band.DEFERRABLE).isEmpty();
        }

        private int size() {
            return in(Band.FAST).size()
                    + in(Band.DEFERRABLE).size()
                    + in(Band.LATE).size();
        }
    }

    private final PlacementSettings settings;
    private final Map<WorkspaceId, Flow> flows = new HashMap<>();
    private final Map<RequestId, Item> items = new HashMap<>();
    private final TreeSet<Item> byRefusal = new TreeSet<>(BY_REFUSAL);
    private Map<WorkspaceId, Double> weights = Map.of();
    private double virtualTime;
    private int lateCredit;
    private long nextOrder;

    FairQueue(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Sets the weights; only their ratios matter. A workspace without a weight has the mean weight. */
    void weights(Map<WorkspaceId, ? extends Number> values) {
        double mean = values.values().stream()
                .mapToDouble(Number::doubleValue)
                .filter(w -> w > 0)
                .average()
                .orElse(1);
        Map<WorkspaceId, Double> scaled = new HashMap<>();
        values.forEach((workspace, weight) -> {
            if (weight.doubleValue() > 0) {
                scaled.put(workspace, weight.doubleValue() / mean);
            }
        });
        weights = scaled;
    }

    int size() {
        return items.size();
    }

    int size(Band band) {
        return flows.values().stream().mapToInt(f -> f.in(band).size()).sum();
    }

    int sizeOf(WorkspaceId workspace) {
        Flow flow = flows.get(workspace);
        return flow == null ? 0 : flow.size();
    }

    Set<WorkspaceId> workspaces() {
        return flows.keySet();
    }

    boolean contains(RequestId request) {
        return items.containsKey(request);
    }

    void add(Item item) {
        Flow flow = flows.computeIfAbsent(item.request.workspace(), Flow::new);
        if (flow.size() == 0) {
            flow.tag = Math.max(flow.tag, virtualTime);
        } else if (!flow.hasTimely()) {
            flow.tag = Math.max(flow.tag, virtualTime - settings.maxPriorityLeadTokens());
        }
        item.order = nextOrder++;
        items.put(item.request.request(), item);
        byRefusal.add(item);
        flow.in(item.band).add(item);
    }

    /** Removes a request without charging its workspace; returns null if the request is not queued. */
    Item remove(RequestId request) {
        Item item = items.remove(request);
        if (item == null) {
            return null;
        }
        byRefusal.remove(item);
        flows.get(item.request.workspace()).in(item.band).remove(item);
        resetWhenIdle();
        return item;
    }

    /** Returns the request to serve next, or null if the queue is empty. */
    Item peek(long nowMillis) {
        return peek(nowMillis, Set.of());
    }

    /** Returns the request to serve next among the workspaces that are not blocked, or null. */
    Item peek(long nowMillis, Set<WorkspaceId> blocked) {
        flows.values().forEach(f -> demoteLate(f, nowMillis));
        Item timely = timely(blocked);
        if (timely != null && lateCredit < PERCENT) {
            return timely;
        }
        Item late = late(blocked);
        return late != null ? late : timely;
    }

    /** Removes a request that was granted and charges its workspace. */
    void take(Item item) {
        Flow flow = flows.get(item.request.workspace());
        boolean bothWait = size(Band.LATE) > 0 && items.size() > size(Band.LATE);
        if (item.band == Band.LATE) {
            lateCredit = Math.max(0, lateCredit - PERCENT);
        } else {
            virtualTime = Math.max(virtualTime, leastTimelyTag());
            lateCredit = bothWait ? lateCredit + settings.lateSharePercent() : 0;
        }
        flow.tag += item.cost() / weightOf(flow.workspace);
        remove(item.request.request());
    }

    /** Adjusts the charge of a served request by the difference between used and expected tokens. */
    void correct(WorkspaceId workspace, int tokens) {
        Flow flow = flows.get(workspace);
        if (flow != null) {
            flow.tag += tokens / weightOf(workspace);
        }
    }

    /** Returns the request with the earliest refusal time, or null if the queue is empty. */
    Item firstToRefuse() {
        return byRefusal.isEmpty() ? null : byRefusal.first();
    }

    /** Returns the newest request of the workspace with the most queued requests, or null if the queue is empty. */
    Item newestOfLongest() {
        Flow longest = null;
        for (Flow flow : flows.values()) {
            if (longest == null || flow.size() > longest.size()) {
                longest = flow;
            }
        }
        if (longest == null) {
            return null;
        }
        return longest.bands.values().stream()
                .flatMap(TreeSet::stream)
                .max(Comparator.comparingLong(i -> i.order))
                .orElse(null);
    }

    List<RequestId> requestsOf(HostId host) {
        List<RequestId> found = new ArrayList<>();
        items.forEach((id, item) -> {
            if (item.request.host().equals(host)) {
                found.add(id);
            }
        });
        return found;
    }

    private static void demoteLate(Flow flow, long nowMillis) {
        for (Band band : List.of(Band.FAST, Band.DEFERRABLE)) {
            TreeSet<Item> waiting = flow.in(band);
            while (!waiting.isEmpty() && waiting.first().lateAtMillis < nowMillis) {
                Item item = waiting.pollFirst();
                item.band = Band.LATE;
                flow.in(Band.LATE).add(item);
            }
        }
    }

    private Item timely(Set<WorkspaceId> blocked) {
        double bound = leastTimelyTag() + settings.maxPriorityLeadTokens();
        Flow fast = null;
        Flow any = null;
        for (Flow flow : flows.values()) {
            if (!flow.hasTimely() || blocked.contains(flow.workspace)) {
                continue;
            }
            any = lower(any, flow);
            if (!flow.in(Band.FAST).isEmpty() && flow.tag <= bound) {
                fast = lower(fast, flow);
            }
        }
        if (fast != null) {
            return fast.in(Band.FAST).first();
        }
        if (any == null) {
            return null;
        }
        return any.in(Band.FAST).isEmpty()
                ? any.in(Band.DEFERRABLE).first()
                : any.in(Band.FAST).first();
    }

    private Item late(Set<WorkspaceId> blocked) {
        Flow best = null;
        for (Flow flow : flows.values()) {
            if (!flow.in(Band.LATE).isEmpty() && !blocked.contains(flow.workspace)) {
                best = lower(best, flow);
            }
        }
        return best == null ? null : best.in(Band.LATE).first();
    }

    private static Flow lower(Flow a, Flow b) {
        if (a == null) {
            return b;
        }
        int order = Double.compare(a.tag, b.tag);
        if (order == 0) {
            order = a.workspace.compareTo(b.workspace);
        }
        return order <= 0 ? a : b;
    }

    private double leastTimelyTag() {
        return flows.values().stream()
                .filter(Flow::hasTimely)
                .mapToDouble(f -> f.tag)
                .min()
                .orElse(virtualTime);
    }

    double weightOf(WorkspaceId workspace) {
        return weights.getOrDefault(workspace, 1.0);
    }

    /** Discards all tags when the queue is empty: the next busy period starts with equal tags, and memory is freed. */
    private void resetWhenIdle() {
        if (items.isEmpty()) {
            virtualTime = Math.max(
                    virtualTime,
                    flows.values().stream().mapToDouble(f -> f.tag).max().orElse(0));
            flows.clear();
        }
    }
}
