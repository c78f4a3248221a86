package org.guavathread.core.claim;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.regex.Pattern;

/**
 * Determines when an idempotency key was issued.
 *
 * <pre>{@code
 * long issuedAt = IssueTimes.of("0190b6c2-7d1e-7c3a-9f5e-2b7c1d0e4a61", null);
 * }</pre>
 */
public final class IssueTimes {

    /** Value for a key that does not carry its time of issue. */
    public static final long UNKNOWN = -1;

    private static final Pattern UUID_V7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final Pattern MILLIS = Pattern.compile("[0-9]{1,15}");

    private IssueTimes() {}

    /**
     * Reads the time of issue from a key and the header {@code Idempotency-Issued-At}. If both give a time, the older
     * one is used, which can only make voters refuse more.
     *
     * @param key the idempotency key
     * @param header the header: milliseconds since the epoch or an ISO 8601 instant; null or blank if it is absent
     * @return milliseconds since the epoch, or {@link #UNKNOWN}
     * @throws IllegalArgumentException if the header is present and malformed
     */
    public static long of(String key, String header) {
        long fromKey = ofUuid(key);
        long fromHeader = header == null || header.isBlank() ? UNKNOWN : ofHeader(header.strip());
        if (fromKey == UNKNOWN || fromHeader == UNKNOWN) {
            return Math.max(fromKey, fromHeader);
        }
        return Math.min(fromKey, fromHeader);
    }

    private static long ofUuid(String key) {
        if (!UUID_V7.matcher(key).matches()) {
            return UNKNOWN;
        }
        return Long.parseLong(key.substring(0, 8) + key.substring(9, 13), 16);
    }

    private static long ofHeader(String header) {
        if (MILLIS.matcher(header).matches()) {
            return Long.parseLong(header);
        }
        try {
            long millis = Instant.parse(header).toEpochMilli();
            if (millis >= 0) {
                return millis;
            }
        } catch (DateTimeException | ArithmeticException e) {
            throw malformed(header, e);
        }
        throw malformed(header, null);
    }

    private static IllegalArgumentException malformed(String header, Exception cause) {
        return new IllegalArgumentException(
                "Idempotency-Issued-At \"" + header
                        + "\" is no time; give milliseconds since 1970 or an instant such as 2026-12-04T06:00:00Z.",
                cause);
    }
}
