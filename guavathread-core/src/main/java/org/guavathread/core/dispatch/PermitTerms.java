package org.guavathread.core.dispatch;

import java.util.OptionalDouble;

/**
 * The limits of a server that bind one request, as the asking host knows them.
 *
 * @param statedPerSecond the limit that the server states, in requests a second
 * @param coldPerSecond what may be granted in one second while the server is cold
 * @param isColdForSure whether the server is known to be cold; false if the asking host does not hear of changes
 */
public record PermitTerms(OptionalDouble statedPerSecond, OptionalDouble coldPerSecond, boolean isColdForSure) {

    /**
     * Returns the terms of a server that states a limit.
     *
     * @param perSecond requests a second
     * @return the terms
     */
    public static PermitTerms stated(double perSecond) {
        return new PermitTerms(OptionalDouble.of(perSecond), OptionalDouble.empty(), false);
    }

    /**
     * Returns the terms of a cold server.
     *
     * @param perSecond what may be granted in one second
     * @return the terms
     */
    public static PermitTerms cold(double perSecond) {
        return new PermitTerms(OptionalDouble.empty(), OptionalDouble.of(perSecond), true);
    }

    /**
     * Tells whether nothing binds the request but the possibility that the server is cold.
     *
     * @return true if the server states no limit and is not known to be cold
     */
    boolean isDoubtOnly() {
        return statedPerSecond.isEmpty() && !isColdForSure;
    }

    /** Returns whether any limit binds the request. */
    boolean isBinding() {
        return statedPerSecond.isPresent() || coldPerSecond.isPresent();
    }
}
