package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

/**
 * Partitions the engines of a sheet into cells, determines the owner of a cell, and chooses the cell of a request by
 * the queue waits that the owners last reported.
 */
public final class CellSelector {

    /** Maximum number of engines in a cell; exceeded only if there are too few engines of one kind for more cells. */
    public static final int MAX_ENGINES = 32;

    /** Reported waits older than this are ignored: the cell then counts as idle, so that it gets requests again. */
    private static final long WAIT_VALID_MILLIS = 2_000;

    private record Wait(long millis, long observedAtMillis) {}

    private final Map<CellId, Wait> waits = new HashMap<>();

    /**
     * Partitions the engines of one model in one region into cells. All hosts with the same sheet compute the same
     * cells. As long as the number of cells stays the same, adding or removing an engine moves few others.
     *
     * @param sheet the sheet
     * @param model the model
     * @param region the region
     * @return the cells; empty if there is no engine
     */
    public static List<Cell> cells(Sheet sheet, ModelId model, RegionId region) {
        List<BackendServer> prefills = engines(sheet, model, region, BackendKind.PREFILL);
        List<BackendServer> decodes = engines(sheet, model, region, BackendKind.DECODE);
        int total = prefills.size() + decodes.size();
        if (total == 0) {
            return List.of();
        }
        int wanted = (total + MAX_ENGINES - 1) / MAX_ENGINES;
        while (perCell(prefills, wanted) + perCell(decodes, wanted) > MAX_ENGINES) {
            wanted++;
        }
        int count = Math.max(1, Math.min(wanted, Math.min(prefills.size(), decodes.size())));
        List<CellId> ids = IntStream.range(0, count)
                .mapToObj(n -> new CellId(model, region, n))
                .toList();
        Map<CellId, List<BackendServer>> members = new HashMap<>();
        assign(prefills, ids, members);
        assign(decodes, ids, members);
        return ids.stream()
                .map(id -> new Cell(id, members.getOrDefault(id, List.of())))
                .toList();
    }

    /**
     * Determines the owner of a cell: the first live host of the region in rendezvous order, or of all hosts if the
     * region has no live host.
     *
     * @param cell the cell
     * @param members the hosts of the epoch
     * @param sheet the sheet that maps data centres to regions
     * @param live tells whether a host is neither suspect nor draining
     * @return the owner, or empty if no host is live
     */
    public static Optional<HostId> owner(CellId cell, EpochMembers members, Sheet sheet, Predicate<HostId> live) {
        List<HostId> ranked = members.owners(cell.ownerKey(), members.hosts().size()).stream()
                .filter(live)
                .toList();
        Map<HostId, RegionId> regions = new HashMap<>();
        for (Host host : members.hosts()) {
            sheet.regionOf(host.dataCentre()).ifPresent(r -> regions.put(host.id(), r));
        }
        return ranked.stream()
                .filter(h -> cell.region().equals(regions.get(h)))
                .findFirst()
                .or(() -> ranked.stream().findFirst());
    }

    /**
     * Records the wait that an owner reported in a reply.
     *
     * @param cell the cell
     * @param waitMillis the estimated wait, in milliseconds
     * @param nowMillis the current time
     */
    public void waitReported(CellId cell, long waitMillis, long nowMillis) {
        waits.put(cell, new Wait(waitMillis, nowMillis));
    }

    /**
     * Removes the waits of cells that do not exist in a new sheet.
     *
     * @param cells the cells of the new sheet
     */
    public void retain(List<CellId> cells) {
        waits.keySet().retainAll(cells);
    }

    /**
     * Chooses the one of two candidate cells with the shorter wait. The first candidate is the same for all requests
     * whose prompts start alike, which improves the prefix cache hit rate; the second depends on the request id alone.
     *
     * @param cells the cells of the model in the region, not empty
     * @param requestId the request id
     * @param prefixHashes hashes of the leading blocks of the prompt; may be empty
     * @param nowMillis the current time
     * @return the cell
     */
    public CellId choose(List<CellId> cells, String requestId, List<PrefixHash> prefixHashes, long nowMillis) {
        String affinity = prefixHashes.isEmpty()
                ? "affinity:" + requestId
                : "prefix:" + prefixHashes.get(0).value();
        CellId first = RendezvousHash.rank(affinity, cells, CellId::ownerKey).get(0);
        List<CellId> others = cells.stream().filter(c -> !c.equals(first)).toList();
        if (others.isEmpty()) {
            return first;
        }
        CellId second = RendezvousHash.rank("request:" + requestId, others, CellId::ownerKey)
                .get(0);
        return waitOf(second, nowMillis) < waitOf(first, nowMillis) ? second : first;
    }

    private long waitOf(CellId cell, long nowMillis) {
        Wait wait = waits.get(cell);
        return wait == null || nowMillis - wait.observedAtMillis() > WAIT_VALID_MILLIS ? 0 : wait.millis();
    }

    private static int perCell(List<BackendServer> engines, int cells) {
        return (engines.size() + cells - 1) / cells;
    }

    private static void assign(
            List<BackendServer> engines, List<CellId> ids, Map<CellId, List<BackendServer>> members) {
        int bound = perCell(engines, ids.size());
        Map<CellId, Integer> sizes = new HashMap<>();
        for (BackendServer engine : engines) {
            for (CellId id : RendezvousHash.rank(engine.id().value(), ids, CellId::ownerKey)) {
                if (sizes.getOrDefault(id, 0) < bound) {
                    sizes.merge(id, 1, Integer::sum);
                    members.computeIfAbsent(id, i -> new ArrayList<>()).add(engine);
                    break;
                }
            }
        }
    }

    private static List<BackendServer> engines(Sheet sheet, ModelId model, RegionId region, BackendKind kind) {
        return sheet.backendServers().values().stream()
                .filter(s -> s.kind() == kind && s.models().contains(model))
                .filter(s ->
                        sheet.regionOf(s.dataCentre()).filter(region::equals).isPresent())
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .collect(Collectors.toList());
    }
}
