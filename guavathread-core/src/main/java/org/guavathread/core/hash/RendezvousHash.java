package org.guavathread.core.hash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Ranks candidates for a key by highest random weight, so that every host with the same candidates computes the same
 * ranking and a removed candidate moves only the keys it held.
 *
 * <pre>{@code
 * List<HostId> voters = RendezvousHash.rankSpread("claim:" + key, hosts, HostId::value, dataCentreOf, 5);
 * }</pre>
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RendezvousHash() {}

    /**
     * Ranks all candidates for a key, best first.
     *
     * @param key the key
     * @param candidates the candidates; their order does not matter
     * @param nameOf gives the name of a candidate, unique among the candidates
     * @param <T> the type of a candidate
     * @return the candidates by falling weight
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> nameOf) {
        record Weighted<T>(T candidate, long weight, String name) {}
        List<Weighted<T>> weighted = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String name = nameOf.apply(candidate);
            weighted.add(new Weighted<>(candidate, weight(key, name), name));
        }
        Comparator<Weighted<T>> byWeight = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
        weighted.sort(byWeight.thenComparing(Weighted::name));
        return weighted.stream().map(Weighted::candidate).toList();
    }

    /**
     * Picks the best candidates for a key, each from another group as long as there are unused groups.
     *
     * @param key the key
     * @param candidates the candidates; their order does not matter
     * @param nameOf gives the name of a candidate, unique among the candidates
     * @param groupOf gives the group to spread over, for example the data centre
     * @param count how many to pick at most
     * @param <T> the type of a candidate
     * @param <G> the type of a group
     * @return at most {@code count} candidates, best first
     */
    public static <T, G> List<T> rankSpread(
            String key, Collection<T> candidates, Function<T, String> nameOf, Function<T, G> groupOf, int count) {
        List<T> remaining = new ArrayList<>(rank(key, candidates, nameOf));
        List<T> picked = new ArrayList<>(count);
        Set<G> usedGroups = new HashSet<>();
        while (picked.size() < count && !remaining.isEmpty()) {
            T next = firstInUnusedGroup(remaining, groupOf, usedGroups);
            if (next == null) {
                usedGroups.clear();
                continue;
            }
            remaining.remove(next);
            usedGroups.add(groupOf.apply(next));
            picked.add(next);
        }
        return picked;
    }

    private static <T, G> T firstInUnusedGroup(List<T> ranked, Function<T, G> groupOf, Set<G> usedGroups) {
        for (T candidate : ranked) {
            if (!usedGroups.contains(groupOf.apply(candidate))) {
                return candidate;
            }
        }
        return null;
    }

    private static long weight(String key, String name) {
        return HASHER.hashStream().putString(key).putString(name).getAsLong();
    }
}
