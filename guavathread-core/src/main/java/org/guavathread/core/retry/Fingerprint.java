package org.guavathread.core.retry;

/**
 * Hash of what a request asks, without its request id, so that a resent request has the same fingerprint.
 *
 * @param value 64-bit hash of workspace, route and body
 */
public record Fingerprint(long value) {

    /**
     * Gives the key under which the owner hosts of this fingerprint are ranked.
     *
     * @return for example {@code "crash:1f"}
     */
    public String ownerKey() {
        return "crash:" + Long.toHexString(value);
    }
}
