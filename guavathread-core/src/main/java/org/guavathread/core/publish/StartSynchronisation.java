package org.guavathread.core.publish;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.guavathread.core.sheet.SocketAddressText;

/**
 * Decides whom a host that starts asks before it reads the store. The store may have come back from an older copy, in which
 * API keys that were withdrawn since are in force again; hosts that ran before know better.
 */
public final class StartSynchronisation {

    /** Maximum time for which a host waits for others; hosts that know it send a report within 250 ms. */
    public static final long MAX_WAIT_MILLIS = 400;

    private final Set<SocketAddressText> asked = new HashSet<>();
    private final long endsAtMillis;
    private boolean answered;

    /**
     * Creates the synchronisation.
     *
     * @param own this host's address for other hosts, which is not asked
     * @param endsAtMillis when the host goes on alone; in the past if no host can have run before
     */
    public StartSynchronisation(SocketAddressText own, long endsAtMillis) {
        asked.add(own);
        this.endsAtMillis = endsAtMillis;
    }

    /**
     * Returns the hosts to ask now, and counts them as asked.
     *
     * @param sources addresses of hosts that may have the published state
     * @return those that have not been asked yet
     */
    public List<SocketAddressText> next(Collection<SocketAddressText> sources) {
        List<SocketAddressText> next = new ArrayList<>(sources);
        next.removeIf(source -> !asked.add(source));
        return next;
    }

    /** Records that a host has sent a configuration. */
    public void answered() {
        answered = true;
    }

    /**
     * Tells whether the store may be read.
     *
     * @param nowMillis the current time
     * @return true once a host has answered, or none did in time
     */
    public boolean isDone(long nowMillis) {
        return answered || nowMillis >= endsAtMillis;
    }
}
