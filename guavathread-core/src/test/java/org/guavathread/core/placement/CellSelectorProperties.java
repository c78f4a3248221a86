package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.BackendKind;
import org.guavathread.core.sheet.BackendServer;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Sheet;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that cells are the same on all hosts, stay within the maximum size and contain both kinds of engines. */
class CellSelectorProperties {

    private static final ModelId MODEL = new ModelId("m");
    private static final RegionId REGION = new RegionId("r");

    @Property(seed = "121", tries = 100, shrinking = ShrinkingMode.OFF)
    void cellsHoldEachEngineOnceWithinTheBound(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int prefills) {
        List<BackendServer> servers = new ArrayList<>();
        int decodes = prefills * 3;
        for (int i = 0; i < prefills + decodes; i++) {
            servers.add(server(i, i < prefills ? BackendKind.PREFILL : BackendKind.DECODE));
        }
        List<Cell> cells = CellSelector.cells(sheet(servers), MODEL, REGION);
        assertEquals(
                servers.size(), cells.stream().mapToInt(c -> c.engines().size()).sum());
        for (Cell cell : cells) {
            assertTrue(
                    cell.engines().size() <= CellSelector.MAX_ENGINES,
                    "cell of " + cell.engines().size());
            assertTrue(cell.engines().stream().anyMatch(e -> e.kind() == BackendKind.PREFILL));
            assertTrue(cell.engines().stream().anyMatch(e -> e.kind() == BackendKind.DECODE));
        }
        Collections.shuffle(servers, new Random(seed));
        assertEquals(
                cells, CellSelector.cells(sheet(servers), MODEL, REGION), "the cells depend on the order of the sheet");
    }

    @Example
    void theLowerWaitOfTwoCandidatesWins() {
        CellSelector selector = new CellSelector();
        List<CellId> cells = List.of(new CellId(MODEL, REGION, 0), new CellId(MODEL, REGION, 1));
        CellId first = selector.choose(cells, "request", List.of(), 0);
        selector.waitReported(first, 500, 0);
        CellId second = selector.choose(cells, "request", List.of(), 100);
        assertTrue(!second.equals(first), "the busy cell was chosen");
        assertEquals(first, selector.choose(cells, "request", List.of(), 10_000), "an outdated wait was used");
    }

    @Example
    void entriesAreUncertainAfterAGapInTheCacheEvents() {
        PrefixIndex index = new PrefixIndex();
        BackendServerId engine = new BackendServerId("p");
        List<PrefixHash> prompt = List.of(new PrefixHash(1), new PrefixHash(2));
        index.apply(new CacheEvent(engine, 1, prompt, List.of()));
        assertEquals(new PrefixIndex.Match(2, 2), index.match(engine, prompt));
        index.apply(new CacheEvent(engine, 3, List.of(new PrefixHash(1)), List.of()));
        assertEquals(
                new PrefixIndex.Match(1, 2),
                index.match(engine, prompt),
                "an entry that may have been removed counts as certain");
    }

    private static Sheet sheet(List<BackendServer> servers) {
        return Sheet.builder()
                .dataCentres(List.of(new DataCentre(new DataCentreId("a"), REGION)))
                .backendServers(servers)
                .build();
    }

    private static BackendServer server(int number, BackendKind kind) {
        return new BackendServer(
                new BackendServerId("s" + number),
                kind,
                new DataCentreId("a"),
                null,
                AdminState.ACTIVE,
                List.of(MODEL),
                true,
                36,
                1_000);
    }
}
