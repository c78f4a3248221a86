package org.guavathread.core.retry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;

/**
 * Refuses requests that were running at two crashes of backend servers. Each host reports the requests that it had on a
 * crashed server to the owner hosts of their fingerprints. An owner that counts two crashes sends a refusal to a few
 * peers, and each host forwards a refusal once, so that it reaches all hosts with a bounded fan-out.
 */
public final class CrashFingerprints {

    /** How long a fingerprint is refused, and how long a first crash is remembered. */
    private static final long REFUSE_MILLIS = 600_000;

    /**
     * Time within which reports about a server count as one crash: hosts report at once, and a restart takes longer.
     */
    private static final long SAME_CRASH_MILLIS = 5_000;

    /** Bounds memory to about one megabyte; the oldest entries are evicted first. */
    private static final int MAX_ENTRIES = 8_192;

    private record Crash(BackendServerId server, long atMillis) {}

    private final Map<Fingerprint, Crash> suspects = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> refusedUntil = new LinkedHashMap<>();

    /**
     * A message to send.
     *
     * @param to the host
     * @param notice the message
     */
    public record Send(HostId to, CrashNotice notice) {}

    /**
     * Returns the reports of the requests that ran on a server whose crash this host detected.
     *
     * @param server the server
     * @param running fingerprints of this host's requests on it
     * @param ownersOf owner hosts of a fingerprint; may include this host, which then receives its own message
     * @param nowMillis the current time
     * @return the messages
     */
    public List<Send> serverCrashed(
            BackendServerId server,
            Collection<Fingerprint> running,
            Function<Fingerprint, List<HostId>> ownersOf,
            long nowMillis) {
        List<Send> sends = new ArrayList<>();
        for (Fingerprint fingerprint : running) {
            CrashNotice notice = new CrashNotice(fingerprint, server, nowMillis, 0);
            ownersOf.apply(fingerprint).forEach(owner -> sends.add(new Send(owner, notice)));
        }
        return sends;
    }

    /**
     * Applies a notice.
     *
     * @param notice the notice
     * @param peers a few hosts to which a new refusal is forwarded
     * @param nowMillis the current time
     * @return the messages to forward
     */
    public List<Send> noticed(CrashNotice notice, List<HostId> peers, long nowMillis) {
        removeExpired(nowMillis);
        Fingerprint fingerprint = notice.fingerprint();
        long until = Math.min(notice.refusedUntilMillis(), nowMillis + REFUSE_MILLIS);
        if (notice.refusedUntilMillis() == 0) {
            if (!isSecondCrash(notice, nowMillis)) {
                return List.of();
            }
            until = nowMillis + REFUSE_MILLIS;
        }
        if (until <= nowMillis || refusedUntil.containsKey(fingerprint)) {
            return List.of();
        }
        suspects.remove(fingerprint);
        refusedUntil.put(fingerprint, until);
        evictOldest(refusedUntil);
        CrashNotice refusal = new CrashNotice(fingerprint, notice.server(), notice.crashedAtMillis(), until);
        return peers.stream().map(p -> new Send(p, refusal)).toList();
    }

    /**
     * Tells whether a request must be refused with {@code CRASH_SUSPECT}.
     *
     * @param fingerprint its fingerprint
     * @param nowMillis the current time
     * @return true while the refusal lasts
     */
    public boolean isRefused(Fingerprint fingerprint, long nowMillis) {
        Long until = refusedUntil.get(fingerprint);
        return until != null && nowMillis < until;
    }

    /**
     * Returns the number of entries in memory.
     *
     * @return fingerprints that are suspect or refused
     */
    public int size() {
        return suspects.size() + refusedUntil.size();
    }

    private boolean isSecondCrash(CrashNotice notice, long nowMillis) {
        Crash first = suspects.get(notice.fingerprint());
        if (first == null) {
            suspects.put(notice.fingerprint(), new Crash(notice.server(), nowMillis));
            evictOldest(suspects);
            return false;
        }
        return !first.server().equals(notice.server()) || nowMillis - first.atMillis() > SAME_CRASH_MILLIS;
    }

    private void removeExpired(long nowMillis) {
        Iterator<Crash> crashes = suspects.values().iterator();
        while (crashes.hasNext() && nowMillis - crashes.next().atMillis() > REFUSE_MILLIS) {
            crashes.remove();
        }
        refusedUntil.values().removeIf(until -> until <= nowMillis);
    }

    private static void evictOldest(Map<Fingerprint, ?> entries) {
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }
}
