package org.guavathread.router.backend;

import java.util.Locale;
import java.util.Optional;

import org.guavathread.core.id.ModelId;

/**
 * An order to an engine.
 *
 * @param fencing the fencing number
 * @param action what to do
 * @param model the model it is about, or empty for a change of role
 * @param version version of the model or name of the adapter, or empty
 * @param role the new role, or empty unless the role changes
 * @param sendDeadlineMillis time after which the order is no longer sent, in ms since the epoch
 * @param deadlineMillis time by which the answer must have come, in ms since the epoch
 */
public record EngineOrder(
        long fencing,
        Action action,
        Optional<ModelId> model,
        Optional<String> version,
        Optional<EngineRole> role,
        long sendDeadlineMillis,
        long deadlineMillis) {

    /** What an order asks for. */
    public enum Action {
        /** Load a model in a version. */
        LOAD_MODEL,
        /** Load an adapter of a model. */
        LOAD_ADAPTER,
        /** Remove a model. */
        UNLOAD_MODEL,
        /** Change the role. */
        CHANGE_ROLE;

        /**
         * Gives the name in the engine protocol.
         *
         * @return the name in lower case
         */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
