package org.guavathread.core.id;

/**
 * Key that a caller chooses for a request and sends again with every retry of it.
 *
 * @param value the name, for example {@code "0190b6c2-7d1e-7c3a-9f5e-2b7c1d0e4a61"}
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is null or blank
     */
    public IdempotencyKey {
        Ids.requireName("idempotency key", value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
