package org.guavathread.core.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.routing.ServiceName;

/**
 * Software versions of servers that are no longer registered, and since when this record has no gap. Together with the
 * registered servers it bounds which versions can have begun a stream.
 */
public final class VersionHistory {

    /** How long a version is remembered: longer than any stream lasts. */
    private static final long RETENTION_MILLIS = 120_000;

    private static final long NEVER = Long.MAX_VALUE;

    /**
     * A version of a service's servers.
     *
     * @param service the service
     * @param version the version
     */
    public record ServiceVersion(ServiceName service, SoftwareVersion version) {

        /**
         * Returns the version of a server.
         *
         * @param worker the server
         * @return its service and version
         */
        public static ServiceVersion of(Worker worker) {
            return new ServiceVersion(worker.service(), worker.softwareVersion());
        }
    }

    private final Map<ServiceVersion, Long> departedMillis = new HashMap<>();
    private long completeSinceMillis = NEVER;

    /** Records that a server is no longer registered, or that its entry has changed. */
    void departed(Worker worker, long nowMillis) {
        departedMillis.merge(ServiceVersion.of(worker), nowMillis, Math::max);
    }

    /** Records that servers may have come and gone unnoticed before now. */
    void interrupted(long nowMillis) {
        completeSinceMillis = nowMillis;
    }

    /**
     * Adds what the registry's source remembers of the time before this host watched it.
     *
     * @param earlier the versions that it remembers
     * @param sinceMillis since when it remembers all of them
     * @param nowMillis the current time
     */
    public void extend(Collection<ServiceVersion> earlier, long sinceMillis, long nowMillis) {
        earlier.forEach(each -> departedMillis.merge(each, nowMillis, Math::max));
        completeSinceMillis = Math.min(completeSinceMillis, sinceMillis);
    }

    /**
     * Tells whether the record has no gap since a time.
     *
     * @param sinceMillis the time
     * @return true if every version of that time is known
     */
    public boolean isCompleteSince(long sinceMillis) {
        return completeSinceMillis <= sinceMillis;
    }

    /** Returns the versions of servers of a service that have left since a time. */
    Set<SoftwareVersion> departedSince(ServiceName service, long sinceMillis) {
        Set<SoftwareVersion> versions = new HashSet<>();
        departedMillis.forEach((each, atMillis) -> {
            if (each.service().equals(service) && atMillis >= sinceMillis) {
                versions.add(each.version());
            }
        });
        return versions;
    }

    void expire(long nowMillis) {
        departedMillis.values().removeIf(atMillis -> atMillis < nowMillis - RETENTION_MILLIS);
    }
}
