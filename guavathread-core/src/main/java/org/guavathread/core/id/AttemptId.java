package org.guavathread.core.id;

/**
 * One try of one host to run a request.
 *
 * @param host the host that coordinates the try
 * @param incarnation the run of that host's process
 * @param sequence a number that grows with each try within that run
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
