package org.guavathread.router.backend;

import java.util.Locale;
import java.util.Optional;

import org.guavathread.core.id.ModelId;

/**
 * An order to an engine.
 *
 * @param fencing the fencing number
 * @param action the action to carry out
 * @param model the model concerned, or empty for a change of role
 * @param version version of the model or name of the adapter, or empty
 * @param role the new role, or empty unless the role changes
 * @param sendDeadlineMillis time after which the order is no longer sent, in ms since the epoch
 * @param deadlineMillis deadline for the response, in ms since the epoch
 */
public record EngineOrder(
        long fencing,
        Action action,
        Optional<ModelId> model,
        Optional<String> version,
        Optional<EngineRole> role,
        long sendDeadlineMillis,
        long deadlineMillis) {

    /** The action that an order requests. */
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
         * Returns the name in the engine protocol.
         *
         * @return the name in lower case
         */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
