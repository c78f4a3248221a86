package org.guavathread.core.publish;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.guavathread.core.sheet.SocketAddressText;

/**
 * Decides when a host that starts has heard enough to serve. It asks the store and hosts that ran before, and waits for
 * both: the store may have come back from an older copy, in which API keys that were withdrawn since are in force again,
 * and another host may have been cut off from the store.
 */
public final class StartSynchronisation {

    /** Maximum time to wait for another host; hosts that know this one send it a report within 250 ms. */
    public static final long HOST_WAIT_MILLIS = 400;

    /** Maximum time to wait for the store before another host's state is used; a slow store takes 200 ms. */
    public static final long STORE_WAIT_MILLIS = 300;

    private final Set<SocketAddressText> asked = new HashSet<>();
    private final boolean waits;
    private final long startedAtMillis;
    private boolean hostAnswered;
    private boolean storeAnswered;

    /**
     * Creates the synchronisation.
     *
     * @param own this host's address for other hosts, which is not asked
     * @param isFirstStart whether no host can have run before, so that there is nothing to wait for
     * @param startedAtMillis start time of this process
     */
    public StartSynchronisation(SocketAddressText own, boolean isFirstStart, long startedAtMillis) {
        asked.add(own);
        this.waits = !isFirstStart;
        this.startedAtMillis = startedAtMillis;
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

    /** Records that another host has sent a configuration. */
    public void hostAnswered() {
        hostAnswered = true;
    }

    /** Records that the store has answered or that the call has failed. */
    public void storeAnswered() {
        storeAnswered = true;
    }

    /**
     * Tells whether what was heard may be applied.
     *
     * @param nowMillis the current time
     * @return true once a host and the store have answered, or did not in time
     */
    public boolean isDone(long nowMillis) {
        boolean hostDone = hostAnswered || nowMillis >= startedAtMillis + HOST_WAIT_MILLIS;
        boolean storeDone = storeAnswered || nowMillis >= startedAtMillis + STORE_WAIT_MILLIS;
        return !waits || hostDone && storeDone;
    }
}
