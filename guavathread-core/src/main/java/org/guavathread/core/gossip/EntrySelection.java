package org.guavathread.core.gossip;

import java.util.Comparator;
import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Chooses the addresses in one host's entry answers. Callers connect to one of them at random, so a host gets callers in
 * proportion to the number of hosts that name it. The load that this answers: hosts of one sixth of a core beside hosts of a
 * whole one, which would all get equally many callers, and a fleet larger than an answer, of which all hosts would name the
 * same part.
 *
 * <p>Each host names the others with a probability in proportion to their capacity. The choice is a hash of both names, so
 * that it stays the same from answer to answer: callers leave hosts that a new answer no longer names.
 */
public final class EntrySelection {

    /** Maximum number of addresses in one answer. */
    public static final int MAX_ADDRESSES = 64;

    /** Addresses that callers get if there are as many: they go on to another one when a host fails. */
    static final int MIN_ADDRESSES = 6;

    /** Number of distinct values of a double from 0 to 1 that a hash gives. */
    private static final double HASH_STEPS = 0x1p53;

    private EntrySelection() {}

    /**
     * A host that may be named.
     *
     * @param host the host
     * @param address address on which it listens for callers
     * @param capacity what its processor can do, in thousandths of a core; 0 if not known
     */
    public record Candidate(HostId host, SocketAddressText address, int capacity) {}

    private record Ranked(Candidate candidate, double position) {}

    /**
     * Chooses the addresses.
     *
     * @param asked the host that answers
     * @param candidates the hosts that serve callers
     * @return at most {@link #MAX_ADDRESSES} addresses
     */
    public static List<SocketAddressText> select(HostId asked, List<Candidate> candidates) {
        int largest = candidates.stream().mapToInt(Candidate::capacity).max().orElse(0);
        List<Ranked> ranked = candidates.stream()
                .map(c -> new Ranked(c, draw(asked, c.host()) * largest / knownCapacity(c, largest)))
                .sorted(Comparator.comparingDouble(Ranked::position))
                .toList();
        int named = (int) ranked.stream().filter(r -> r.position() < 1).count();
        return ranked.stream()
                .limit(Math.min(MAX_ADDRESSES, Math.max(MIN_ADDRESSES, named)))
                .map(r -> r.candidate().address())
                .toList();
    }

    /** A host that does not tell its capacity, such as one of an earlier build, counts as one of the largest. */
    private static double knownCapacity(Candidate candidate, int largest) {
        return candidate.capacity() > 0 ? candidate.capacity() : Math.max(1, largest);
    }

    /** Returns a number from 0 (included) to 1 (excluded) that depends on both hosts only. */
    private static double draw(HostId asked, HostId named) {
        long hash = Hashing.komihash5_0()
                .hashStream()
                .putString(asked.value())
                .putString(named.value())
                .getAsLong();
        return (hash >>> 11) / HASH_STEPS;
    }
}
