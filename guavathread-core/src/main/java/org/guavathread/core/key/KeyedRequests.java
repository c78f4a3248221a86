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
 * Registry of the queued and running requests of a host by their API key. When a key is withdrawn, it tells the caller
 * which requests to cancel, and repeats this until each of them is reported as ended.
 *
 * <pre>{@code
 * if (keyedRequests.register(request, owner)) { … } else { refuse with KEY_UNKNOWN }
 * for (KeyedRequests.Cancellation cancellation : keyedRequests.onSheet(newRing, now)) { … }
 * keyedRequests.remove(request);
 * }</pre>
 */
public final class KeyedRequests {

    /** Requirement: a withdrawn key stops working within 3 s after the sheet comes into force on the host. */
    public static final long CANCEL_WITHIN_MILLIS = 3000;

    /** A restarted duty loses cancellations, so they are repeated; five repeats fit into the limit. */
    private static final long REPEAT_MILLIS = 500;

    private final Map<KeyHash, Set<RequestId>> requestsByKey = new HashMap<>();
    private final Map<RequestId, KeyRing.Owner> owners = new HashMap<>();
    private final Map<RequestId, Cancellation> pendingCancellations = new LinkedHashMap<>();
    private KeyRing ring;
    private long nextRepeatAtMillis = Long.MAX_VALUE;

    /**
     * Instruction to remove a request from its queue, cancel it at its engines and abort its response.
     *
     * @param request the request
     * @param owner the withdrawn key and its workspace
     * @param deadlineMillis the time by which it must have ended, in milliseconds since the epoch
     */
    public record Cancellation(RequestId request, KeyRing.Owner owner, long deadlineMillis) {}

    /**
     * Creates an empty registry.
     *
     * @param ring the key ring of the sheet in force
     */
    public KeyedRequests(KeyRing ring) {
        this.ring = ring;
    }

    /**
     * Registers a request before it is queued or run.
     *
     * @param request the request
     * @param owner the owner of its key, from a key ring that may be older than the one in force here
     * @return false if the key is withdrawn, in which case the request must be refused
     */
    public boolean register(RequestId request, KeyRing.Owner owner) {
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
     * Removes a request that ended for any reason.
     *
     * @param request the request; an unknown one is ignored
     */
    public void remove(RequestId request) {
        KeyRing.Owner owner = owners.remove(request);
        pendingCancellations.remove(request);
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
     * Applies the keys of a newer sheet.
     *
     * @param newer the key ring of the newer sheet
     * @param nowMillis the current time
     * @return the requests to cancel now
     */
    public List<Cancellation> onSheet(KeyRing newer, long nowMillis) {
        Set<KeyHash> withdrawn = ring.withdrawnBy(newer);
        ring = newer;
        List<Cancellation> cancellations = new ArrayList<>();
        for (KeyHash hash : withdrawn) {
            for (RequestId request : requestsByKey.getOrDefault(hash, Set.of())) {
                Cancellation cancellation =
                        new Cancellation(request, owners.get(request), nowMillis + CANCEL_WITHIN_MILLIS);
                if (pendingCancellations.putIfAbsent(request, cancellation) == null) {
                    cancellations.add(cancellation);
                }
            }
        }
        if (!cancellations.isEmpty()) {
            nextRepeatAtMillis = Math.min(nextRepeatAtMillis, nowMillis + REPEAT_MILLIS);
        }
        return cancellations;
    }

    /**
     * Repeats the cancellation of requests that were not reported as ended.
     *
     * @param nowMillis the current time
     * @return the requests to cancel now
     */
    public List<Cancellation> onWake(long nowMillis) {
        if (nowMillis < nextRepeatAtMillis) {
            return List.of();
        }
        nextRepeatAtMillis = pendingCancellations.isEmpty() ? Long.MAX_VALUE : nowMillis + REPEAT_MILLIS;
        return List.copyOf(pendingCancellations.values());
    }

    /**
     * Returns the time by which {@link #onWake} must be called.
     *
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} if no request is being cancelled
     */
    public long nextWakeAtMillis() {
        return nextRepeatAtMillis;
    }
}
