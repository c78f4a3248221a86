package org.guavathread.core.key;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.KeyHash;

/**
 * The queued and running requests of a host by the key that came with them. When a key is withdrawn, it asks the shell
 * to end them, and asks again until each one is reported as ended.
 *
 * <pre>{@code
 * if (work.begin(request, owner)) { … } else { refuse with KEY_UNKNOWN }
 * for (KeyedWork.EndWork end : work.onSheet(newRing, now)) { … }
 * work.end(request);
 * }</pre>
 */
public final class KeyedWork {

    /** Bound of the page: a withdrawn key stops working within 3 s of the sheet being in force on the host. */
    public static final long END_WITHIN_MILLIS = 3000;

    /** A duty that was restarted loses the order to end a request; five repeats fit into the bound. */
    private static final long REPEAT_MILLIS = 500;

    private final Map<KeyHash, Set<RequestId>> requestsByKey = new HashMap<>();
    private final Map<RequestId, KeyRing.Owner> owners = new HashMap<>();
    private final Map<RequestId, EndWork> ending = new LinkedHashMap<>();
    private KeyRing ring;
    private long nextRepeatAtMillis = Long.MAX_VALUE;

    /**
     * Orders the shell to end a request: to take it out of its queue, cancel it at its engines and break off its answer.
     *
     * @param request the request
     * @param owner the withdrawn key and its workspace
     * @param endByMillis when it must have ended at the latest
     */
    public record EndWork(RequestId request, KeyRing.Owner owner, long endByMillis) {}

    /**
     * Starts with no work.
     *
     * @param ring the ring of the sheet in force
     */
    public KeyedWork(KeyRing ring) {
        this.ring = ring;
    }

    /**
     * Registers a request before it is queued or run.
     *
     * @param request the request
     * @param owner what a ring said about its key; the ring may be older than the one in force here
     * @return false if the key is withdrawn, in which case the request must be refused
     */
    public boolean begin(RequestId request, KeyRing.Owner owner) {
        if (!ring.confirms(owner)) {
            return false;
        }
        owners.put(request, owner);
        requestsByKey
                .computeIfAbsent(owner.keyHash(), k -> new LinkedHashSet<>())
                .add(request);
        return true;
    }

    /**
     * Notes that a request has ended for whatever reason.
     *
     * @param request the request; an unknown one is ignored
     */
    public void end(RequestId request) {
        KeyRing.Owner owner = owners.remove(request);
        ending.remove(request);
        if (owner == null) {
            return;
        }
        Set<RequestId> requests = requestsByKey.get(owner.keyHash());
        requests.remove(request);
        if (requests.isEmpty()) {
            requestsByKey.remove(owner.keyHash());
        }
    }

    /**
     * Puts the keys of a newer sheet in force.
     *
     * @param newer the ring of the newer sheet
     * @param nowMillis the current time
     * @return the requests to end now
     */
    public List<EndWork> onSheet(KeyRing newer, long nowMillis) {
        Set<KeyHash> withdrawn = ring.withdrawnBy(newer);
        ring = newer;
        List<EndWork> orders = new ArrayList<>();
        for (KeyHash hash : withdrawn) {
            for (RequestId request : requestsByKey.getOrDefault(hash, Set.of())) {
                EndWork order = new EndWork(request, owners.get(request), nowMillis + END_WITHIN_MILLIS);
                if (ending.putIfAbsent(request, order) == null) {
                    orders.add(order);
                }
            }
        }
        if (!orders.isEmpty()) {
            nextRepeatAtMillis = Math.min(nextRepeatAtMillis, nowMillis + REPEAT_MILLIS);
        }
        return orders;
    }

    /**
     * Repeats the orders for requests that were not reported as ended.
     *
     * @param nowMillis the current time
     * @return the requests to end now
     */
    public List<EndWork> onWake(long nowMillis) {
        if (nowMillis < nextRepeatAtMillis) {
            return List.of();
        }
        nextRepeatAtMillis = ending.isEmpty() ? Long.MAX_VALUE : nowMillis + REPEAT_MILLIS;
        return List.copyOf(ending.values());
    }

    /**
     * Tells when {@link #onWake} must be called at the latest.
     *
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} if nothing is being ended
     */
    public long nextWakeAtMillis() {
        return nextRepeatAtMillis;
    }
}
