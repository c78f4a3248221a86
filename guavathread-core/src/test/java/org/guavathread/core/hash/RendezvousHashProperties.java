package org.guavathread.core.hash;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two hosts computing different owners, and against a removal moving unrelated keys. */
class RendezvousHashProperties {

    @Property(seed = "1", tries = 200)
    void orderOfCandidatesDoesNotMatter(@ForAll String key, @ForAll @IntRange(min = 1, max = 20) int count) {
        List<String> names = names(count);
        List<String> reversed = new ArrayList<>(names);
        java.util.Collections.reverse(reversed);
        assertEquals(
                RendezvousHash.rank(key, names, Function.identity()),
                RendezvousHash.rank(key, reversed, Function.identity()));
    }

    @Property(seed = "2", tries = 200)
    void removalKeepsTheRankingOfTheOthers(@ForAll String key, @ForAll @IntRange(min = 2, max = 20) int count) {
        List<String> before = new ArrayList<>(RendezvousHash.rank(key, names(count), Function.identity()));
        String removed = before.remove(count / 2);
        List<String> rest =
                names(count).stream().filter(n -> !n.equals(removed)).toList();
        assertEquals(before, RendezvousHash.rank(key, rest, Function.identity()));
    }

    @Property(seed = "3", tries = 200)
    void spreadUsesEveryGroupBeforeRepeatingOne(@ForAll String key) {
        List<String> picked = RendezvousHash.rankSpread(key, names(12), Function.identity(), n -> n.length() + n, 5);
        assertEquals(5, picked.size());
        List<Integer> groups =
                RendezvousHash.rankSpread(key, names(12), Function.identity(), RendezvousHashProperties::groupOf, 4)
                        .stream()
                        .map(RendezvousHashProperties::groupOf)
                        .toList();
        assertTrue(groups.containsAll(List.of(0, 1, 2, 3)), "groups " + groups);
    }

    private static int groupOf(String name) {
        return Integer.parseInt(name.substring(1)) % 4;
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "h" + i).toList();
    }
}
