package org.guavathread.core.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

import org.guavathread.core.gossip.EntrySelection.Candidate;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against callers in equal numbers for hosts of unequal size, and against hosts of which nobody hears. The load: all
 * hosts are asked equally often, and callers connect to any address of an answer.
 */
class EntrySelectionTest {

    private static final int SMALL = 252;
    private static final int LARGE = 1_500;

    private static SocketAddressText address(int number) {
        return new SocketAddressText("127.0.0.1", 1_000 + number);
    }

    private static Candidate host(int number, int capacity) {
        return new Candidate(new HostId("h" + number), address(number), capacity);
    }

    private static List<Candidate> fleet(int large, int small, int smallCapacity) {
        List<Candidate> fleet = new ArrayList<>();
        for (int i = 0; i < large + small; i++) {
            fleet.add(host(i, i < large ? LARGE : smallCapacity));
        }
        return fleet;
    }

    /** Returns the share of all callers that each host gets. */
    private static Map<SocketAddressText, Double> shares(List<Candidate> fleet) {
        Map<SocketAddressText, Double> shares = new HashMap<>();
        for (Candidate asked : fleet) {
            List<SocketAddressText> named = EntrySelection.select(asked.host(), fleet);
            named.forEach(a -> shares.merge(a, 1.0 / named.size() / fleet.size(), Double::sum));
        }
        return shares;
    }

    private static double meanOf(Map<SocketAddressText, Double> shares, int from, int to) {
        double sum = 0;
        for (int i = from; i < to; i++) {
            sum += shares.getOrDefault(address(i), 0.0);
        }
        return sum / (to - from);
    }

    @Test
    void callersGoToHostsInProportionToTheirCapacity() {
        Map<SocketAddressText, Double> shares = shares(fleet(6, 130, SMALL));
        double ratio = meanOf(shares, 0, 6) / meanOf(shares, 6, 136);
        assertEquals((double) LARGE / SMALL, ratio, 0.6);
        assertEquals(136, shares.size(), "each host is named by some host");
    }

    @Test
    void hostsOfOneSizeAreAllNamedWhileTheyFitIntoAnAnswer() {
        List<Candidate> fleet = fleet(0, 64, SMALL);
        fleet.forEach(asked ->
                assertEquals(64, EntrySelection.select(asked.host(), fleet).size()));
    }

    @Test
    void aFleetThatDoesNotFitIntoAnAnswerIsUsedEvenly() {
        Map<SocketAddressText, Double> shares = shares(fleet(0, 410, SMALL));
        double mean = 1.0 / 410;
        assertEquals(410, shares.size());
        shares.values()
                .forEach(share -> assertTrue(share > mean / 2 && share < mean * 2, "a share of " + share / mean));
    }

    @Test
    void aFewHugeHostsDoNotLeaveCallersWithoutAChoice() {
        List<Candidate> fleet = fleet(1, 100, 1);
        fleet.forEach(asked -> assertEquals(
                EntrySelection.MIN_ADDRESSES,
                EntrySelection.select(asked.host(), fleet).size(),
                1));
    }

    @Test
    void hostsOfUnknownSizeAreNamed() {
        List<Candidate> fleet = List.of(host(1, 0), host(2, LARGE), host(3, 0));
        assertEquals(3, EntrySelection.select(new HostId("h1"), fleet).size());
        List<Candidate> unknown = List.of(host(1, 0), host(2, 0));
        assertEquals(2, EntrySelection.select(new HostId("h1"), unknown).size());
        assertEquals(List.of(), EntrySelection.select(new HostId("h1"), List.of()));
    }

    @Test
    void anotherHostsEndChangesNothingElse() {
        List<Candidate> fleet = fleet(6, 60, SMALL);
        HostId asked = new HostId("h9");
        List<SocketAddressText> before = EntrySelection.select(asked, fleet);
        List<SocketAddressText> after = EntrySelection.select(asked, fleet.subList(1, fleet.size()));
        HashSet<SocketAddressText> lost = new HashSet<>(before);
        after.forEach(lost::remove);
        assertEquals(new HashSet<>(List.of(address(0))), lost);
        assertEquals(before, EntrySelection.select(asked, fleet));
    }
}
