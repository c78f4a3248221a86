package org.guavathread.core.retry;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.message.PeerMessage;

/**
 * Reports that a request ran on a backend server when it crashed, or that a fingerprint is refused.
 *
 * @param fingerprint the fingerprint of the request
 * @param server the backend server that crashed
 * @param crashedAtMillis when the reporting host noticed the crash
 * @param refusedUntilMillis until when the fingerprint is refused; 0 in a report of a single crash
 */
public record CrashNotice(
        Fingerprint fingerprint, BackendServerId server, long crashedAtMillis, long refusedUntilMillis)
        implements PeerMessage {}
