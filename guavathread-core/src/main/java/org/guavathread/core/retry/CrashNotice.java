package org.guavathread.core.retry;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.message.PeerMessage;

/**
 * Reports that a request ran on a backend server when it crashed, or that a fingerprint is refused.
 *
 * @param fingerprint the fingerprint of the request
 * @param server the backend server that crashed
 * @param crashedAtMillis time at which the reporting host detected the crash
 * @param refusedUntilMillis end of the refusal of the fingerprint; 0 in a report of a single crash
 */
public record CrashNotice(
        Fingerprint fingerprint, BackendServerId server, long crashedAtMillis, long refusedUntilMillis)
        implements PeerMessage {}
