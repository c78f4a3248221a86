package org.guavathread.core.retry;

/**
 * Hash of a request's content without its request id, so that a resent request has the same fingerprint.
 *
 * @param value 64-bit hash of workspace, route and body
 */
public record Fingerprint(long value) {

    /**
     * Returns the hash key that selects the owner hosts of this fingerprint.
     *
     * @return for example {@code "crash:1f"}
     */
    public String ownerKey() {
        return "crash:" + Long.toHexString(value);
    }
}
