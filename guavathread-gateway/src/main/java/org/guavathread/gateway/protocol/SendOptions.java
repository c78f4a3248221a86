package org.guavathread.gateway.protocol;

import java.util.Optional;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.Priority;

/**
 * Parameters of one send of a request to a backend server.
 *
 * @param server the backend server; another one at its address must not run the request
 * @param workspace the workspace that the caller's API key belongs to; empty on open routes
 * @param priority priority of a language request; empty if all requests of its service have the same one
 * @param remainingMillis time budget of the server, in milliseconds
 * @param deadlineMillis when the gateway cancels the exchange
 * @param prefillResult the KV cache to fetch, if a prefill engine has processed the prompt
 * @param reservation memory that the server has reserved for the request
 * @param resumeAfter id of the event after which the answer resumes
 */
public record SendOptions(
        Worker server,
        Optional<WorkspaceId> workspace,
        Optional<Priority> priority,
        long remainingMillis,
        long deadlineMillis,
        Optional<PrefillResult> prefillResult,
        Optional<EngineReservation> reservation,
        Optional<String> resumeAfter) {}
