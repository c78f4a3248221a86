package org.guavathread.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.message.UnknownConstant;
import org.guavathread.core.registry.SoftwareVersion;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Software versions at which callers' streams began, by the attempt that brought the first event. A caller may take a broken
 * stream up again at any host, and only servers of that version can go on.
 *
 * <pre>{@code
 * origins.record(StreamOrigins.keyOf(attemptId), version, Source.FIRST_EVENT, deadlineMillis, now);
 * Optional<SoftwareVersion> version = origins.find(StreamOrigins.keyOf(resumedAttemptId), now);
 * }</pre>
 */
public final class StreamOrigins {

    /** Maximum number of streams: the own ones and those kept for other hosts, ten times over. */
    private static final int MAX_STREAMS = 16_384;

    /** How the version of a stream is known. */
    public enum Source {
        /** The host that passed its first event on knows the server. */
        FIRST_EVENT,
        /** A server reports that it runs the attempt. */
        @UnknownConstant
        RUNNING
    }

    /** The version is empty if servers of several versions report the same attempt. */
    private record Origin(Optional<SoftwareVersion> version, Source source, long expiresAtMillis) {

        private Origin merge(Origin later) {
            if (source != later.source) {
                return source == Source.FIRST_EVENT ? this : later;
            }
            return version.equals(later.version) ? later : new Origin(Optional.empty(), source, expiresAtMillis);
        }
    }

    private final Map<Long, Origin> byAttempt = new LinkedHashMap<>();

    /**
     * Returns the key of an attempt.
     *
     * @param attemptId the caller's id of the attempt
     * @return its 64-bit hash
     */
    public static long keyOf(String attemptId) {
        return Hashing.komihash5_0().hashCharsToLong(attemptId);
    }

    /**
     * Records the version at which a stream began.
     *
     * @param attempt key of the attempt
     * @param version the version
     * @param source how the version is known
     * @param expiresAtMillis when the caller stops waiting and so cannot take the stream up any more
     * @param nowMillis the current time
     */
    public void record(long attempt, SoftwareVersion version, Source source, long expiresAtMillis, long nowMillis) {
        removeOldest(nowMillis);
        byAttempt.merge(attempt, new Origin(Optional.of(version), source, expiresAtMillis), Origin::merge);
    }

    /** Removes expired streams up to the first one that has not, and one more if there is no room for another. */
    private void removeOldest(long nowMillis) {
        Iterator<Origin> oldest = byAttempt.values().iterator();
        while (oldest.hasNext()) {
            boolean isExpired = oldest.next().expiresAtMillis() <= nowMillis;
            if (!isExpired && byAttempt.size() < MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Finds the version at which a stream began.
     *
     * @param attempt key of the attempt that brought its first event
     * @param nowMillis the current time
     * @return the version, or empty if it is not known here
     */
    public Optional<SoftwareVersion> find(long attempt, long nowMillis) {
        return Optional.ofNullable(byAttempt.get(attempt))
                .filter(origin -> origin.expiresAtMillis() > nowMillis)
                .flatMap(Origin::version);
    }

    /**
     * Returns the number of recorded streams.
     *
     * @return number of streams, some of which may have expired
     */
    public int size() {
        return byAttempt.size();
    }
}
