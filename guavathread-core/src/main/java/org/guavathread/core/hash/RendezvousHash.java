package org.guavathread.core.hash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Rendezvous hashing (highest random weight): every host with the same candidates computes the same ranking for a key,
 * and the removal of a candidate moves only the keys that it owned.
 *
 * <pre>{@code
 * List<HostId> voters = RendezvousHash.rankSpread("claim:" + key, hosts, HostId::value, dataCentreOf, 5);
 * }</pre>
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private record Weighted<T>(T candidate, long weight, String name) {}

    private RendezvousHash() {}

    /**
     * Ranks all candidates for a key, best first.
     *
     * @param key the key
     * @param candidates the candidates; their order does not matter
     * @param nameOf returns the name of a candidate, unique among the candidates
     * @param <T> the type of a candidate
     * @return the candidates by descending weight
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> nameOf) {
        List<Weighted<T>> weighted = weighted(key, candidates, nameOf);
        weighted.sort(RendezvousHash::compare);
        return weighted.stream().map(Weighted::candidate).toList();
    }

    /**
     * Picks the best candidates for a key, each from a different group until every group has been used.
     *
     * @param key the key
     * @param candidates the candidates; their order does not matter
     * @param nameOf returns the name of a candidate, unique among the candidates
     * @param groupOf returns the group to spread over, for example the data centre
     * @param count how many to pick at most
     * @param <T> the type of a candidate
     * @param <G> the type of a group
     * @return at most {@code count} candidates, best first
     */
    public static <T, G> List<T> rankSpread(
            String key, Collection<T> candidates, Function<T, String> nameOf, Function<T, G> groupOf, int count) {
        List<Weighted<T>> remaining = weighted(key, candidates, nameOf);
        List<T> picked = new ArrayList<>(Math.min(count, remaining.size()));
        Set<G> usedGroups = new HashSet<>();
        while (picked.size() < count && !remaining.isEmpty()) {
            int best = bestInUnusedGroup(remaining, groupOf, usedGroups);
            if (best < 0) {
                usedGroups.clear();
                continue;
            }
            // The order of the remaining candidates does not matter, so the last one fills the gap without a shift.
            Weighted<T> next = remaining.set(best, remaining.get(remaining.size() - 1));
            remaining.remove(remaining.size() - 1);
            usedGroups.add(groupOf.apply(next.candidate()));
            picked.add(next.candidate());
        }
        return picked;
    }

    /** Finds the best candidate by a linear scan; a few scans of 410 hosts cost less than sorting them. */
    private static <T, G> int bestInUnusedGroup(
            List<Weighted<T>> remaining, Function<T, G> groupOf, Set<G> usedGroups) {
        int best = -1;
        for (int i = 0; i < remaining.size(); i++) {
            boolean better = best < 0 || compare(remaining.get(i), remaining.get(best)) < 0;
            if (better && !usedGroups.contains(groupOf.apply(remaining.get(i).candidate()))) {
                best = i;
            }
        }
        return best;
    }

    /** Hashes the key only once, because it is longer than most names. */
    private static <T> List<Weighted<T>> weighted(String key, Collection<T> candidates, Function<T, String> nameOf) {
        long keyHash = HASHER.hashCharsToLong(key);
        List<Weighted<T>> weighted = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String name = nameOf.apply(candidate);
            weighted.add(new Weighted<>(candidate, mix(keyHash ^ HASHER.hashCharsToLong(name)), name));
        }
        return weighted;
    }

    private static <T> int compare(Weighted<T> a, Weighted<T> b) {
        int byWeight = Long.compareUnsigned(b.weight(), a.weight());
        return byWeight != 0 ? byWeight : a.name().compareTo(b.name());
    }

    /** Spreads the combined hash over all bits: the 64-bit finalizer of MurmurHash3 by Austin Appleby. */
    private static long mix(long hash) {
        long h = hash;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
