package org.guavathread.core.sheet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 of an API key. The key itself is never stored. */
public final class KeyHash {

    private static final String PREFIX = "sha256:";
    private static final int DIGITS = 64;

    private final byte[] digest;

    private KeyHash(byte[] digest) {
        this.digest = digest;
    }

    /**
     * Hashes an API key.
     *
     * @param key the key as the caller sent it
     * @return its hash
     */
    public static KeyHash ofKey(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return new KeyHash(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("This Java runtime has no SHA-256; every Java platform must have it.", e);
        }
    }

    /**
     * Parses the textual form used in the sheet.
     *
     * @param text {@code sha256:} and 64 hex digits
     * @return the hash
     * @throws IllegalArgumentException if the text is malformed
     */
    public static KeyHash parse(String text) {
        if (!isWellFormed(text)) {
            throw new IllegalArgumentException("The value is not a key hash; write " + PREFIX + " and " + DIGITS
                    + " hex digits, as `guavathread sheet hash-key` prints them (the value is not shown, since it may"
                    + " be an API key).");
        }
        return new KeyHash(HexFormat.of().parseHex(text.substring(PREFIX.length())));
    }

    /**
     * Returns whether {@link #parse} accepts a text.
     *
     * @param text the text, may be null
     * @return true for {@code sha256:} and 64 hex digits
     */
    public static boolean isWellFormed(String text) {
        return text != null && text.matches(PREFIX + "[0-9a-fA-F]{" + DIGITS + "}");
    }

    /** Compares in constant time, so that the duration does not reveal how many bytes match. */
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyHash that && MessageDigest.isEqual(digest, that.digest);
    }

    @Override
    public int hashCode() {
        return (digest[0] & 0xff) << 24 | (digest[1] & 0xff) << 16 | (digest[2] & 0xff) << 8 | digest[3] & 0xff;
    }

    @Override
    public String toString() {
        return PREFIX + HexFormat.of().formatHex(digest);
    }
}
