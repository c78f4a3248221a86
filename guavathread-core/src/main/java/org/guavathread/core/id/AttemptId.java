package org.guavathread.core.id;

/**
 * Identifies one attempt of a host to run a request.
 *
 * @param host the host that coordinates the attempt
 * @param incarnation the incarnation of that host's process
 * @param sequence a number that increases with each attempt within the incarnation
 */
public record AttemptId(HostId host, Incarnation incarnation, long sequence) implements Comparable<AttemptId> {

    @Override
    public int compareTo(AttemptId other) {
        int byHost = host.compareTo(other.host);
        if (byHost != 0) {
            return byHost;
        }
        int byIncarnation = incarnation.compareTo(other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return host + "-" + Long.toString(incarnation.startedAtMillis(), Character.MAX_RADIX) + "-" + sequence;
    }
}
