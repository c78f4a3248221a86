package org.guavathread.gateway.protocol;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.Worker;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/** The protocol between the gateway and backend servers on a platform. */
public interface BackendProtocol {

    /**
     * Builds the call that runs a request.
     *
     * @param request the caller's request
     * @param options parameters of the send
     * @return the call
     */
    HttpRequest run(CallerRequest request, SendOptions options);

    /**
     * Builds the call that runs only the prefill of a request.
     *
     * @param request the caller's request
     * @param options parameters of the send
     * @return the call
     */
    HttpRequest prefill(CallerRequest request, SendOptions options);

    /**
     * Decodes the answer of {@link #prefill}.
     *
     * @param request the caller's request
     * @param engine the engine that answered
     * @param answer its answer
     * @param nowMillis the current time
     * @return the KV cache, or empty if the prefill did not run or the answer is of another request
     */
    Optional<PrefillResult> prefillResultOf(CallerRequest request, Worker engine, HttpResponse answer, long nowMillis);

    /**
     * Builds the call that frees a KV cache that will not be fetched.
     *
     * @param prefillResult the KV cache
     * @return the call
     */
    HttpRequest freeKvCache(PrefillResult prefillResult);

    /**
     * Builds the call that reserves engine memory for a request.
     *
     * @param engine the engine
     * @param tokens memory for the prompt and the answer, in tokens
     * @param lifetimeMillis lifetime of the reservation, in milliseconds
     * @param deadlineMillis when the call times out
     * @return the call
     */
    HttpRequest reserve(Worker engine, int tokens, long lifetimeMillis, long deadlineMillis);

    /**
     * Decodes the answer of {@link #reserve}.
     *
     * @param engine the engine that answered
     * @param answer its answer
     * @param expiresAtMillis when the reservation expires
     * @return the reservation, or empty if the engine refused it
     */
    Optional<EngineReservation> reservationOf(Worker engine, HttpResponse answer, long expiresAtMillis);

    /**
     * Builds the call that releases a reservation.
     *
     * @param reservation the reservation
     * @return the call
     */
    HttpRequest releaseReservation(EngineReservation reservation);

    /**
     * Builds the request for an engine's report.
     *
     * @param engine the engine
     * @param deadlineMillis when the call times out
     * @return the call
     */
    HttpRequest report(Worker engine, long deadlineMillis);

    /**
     * Decodes an engine's report.
     *
     * @param engine the engine that answered
     * @param answer its answer
     * @return the report, or empty if it cannot be decoded
     */
    Optional<EngineReport> reportOf(Worker engine, HttpResponse answer);

    /**
     * Builds the order that changes an engine's stage. The engine accepts it only as its first order.
     *
     * @param engine the engine
     * @param stage the engine's new stage
     * @param holder the host that gives the order
     * @param fencingNumber fencing number; increases with each order
     * @param deadlineMillis when the call times out
     * @return the call
     */
    HttpRequest changeStage(Worker engine, EngineStage stage, HostId holder, long fencingNumber, long deadlineMillis);

    /**
     * Classifies an answer.
     *
     * @param request the caller's request
     * @param head status and headers of the answer
     * @return the classification
     */
    AnswerMeaning meaningOf(CallerRequest request, HttpHead head);

    /**
     * Returns the request rate that a server in need states in an answer, for all hosts together.
     *
     * @param head status and headers of the answer
     * @return requests a second, or empty if the server states no limit
     */
    OptionalDouble statedLimitOf(HttpHead head);

    /**
     * Decodes what a server says of itself in an answer of any kind.
     *
     * @param head status and headers of the answer
     * @param nowMillis when the answer arrived
     * @return the notice; {@link ServerNotice#NONE} if the answer may come from another process
     */
    ServerNotice noticeOf(HttpHead head, long nowMillis);

    /**
     * Returns the headers of a backend server's answer that are forwarded to the caller.
     *
     * @param head status and headers of the answer
     * @return the headers without hop-by-hop headers
     */
    Map<String, String> callerHeaders(HttpHead head);
}
