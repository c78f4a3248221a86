package org.guavathread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.guavathread.core.id.BackendServerId;

/** Request rates that backend servers in need state in their answers, for all hosts together. */
public final class ServerLimits {

    private final Map<BackendServerId, Double> stated = new HashMap<>();

    /**
     * Records what a server states in the answer to a run; an answer without a limit ends the limit.
     *
     * @param server the server
     * @param perSecond the stated limit in requests a second
     * @return true if the limit has changed
     */
    public boolean state(BackendServerId server, OptionalDouble perSecond) {
        if (perSecond.isEmpty()) {
            return stated.remove(server) != null;
        }
        Double before = stated.put(server, perSecond.getAsDouble());
        return before == null || before != perSecond.getAsDouble();
    }

    /**
     * Returns the number of servers with a limit.
     *
     * @return servers
     */
    public int size() {
        return stated.size();
    }

    /**
     * Removes the limits of servers that no longer exist.
     *
     * @param present ids of the servers that exist
     */
    public void retain(Collection<BackendServerId> present) {
        stated.keySet().retainAll(present);
    }
}
