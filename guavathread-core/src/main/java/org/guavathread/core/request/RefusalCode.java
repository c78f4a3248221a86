package org.guavathread.core.request;

/** Reason of a refusal, with the HTTP status of the response. */
public enum RefusalCode {
    /** The request cannot be parsed or a field has a wrong value. */
    BAD_REQUEST(400),
    /** A non-repeatable route that demands an idempotency key was called without one. */
    IDEMPOTENCY_KEY_MISSING(400),
    /** No key was presented on a route that needs one. */
    KEY_MISSING(401),
    /** The presented key belongs to no workspace, or it was withdrawn. */
    KEY_UNKNOWN(401),
    /** No route of the sheet has this path. */
    NO_ROUTE(404),
    /** The route serves no model of this name. */
    NO_MODEL(404),
    /** The body exceeds its limit. */
    TOO_LARGE(413),
    /** Request line and headers exceed their limit. */
    HEAD_TOO_LARGE(431),
    /** Another attempt of the same request is still running. */
    CLAIM_HELD(409),
    /** The idempotency key was issued longer ago than claims are kept. */
    KEY_EXPIRED(409),
    /** The workspace used up its rate and burst. */
    RATE_LIMITED(429),
    /** A bounded queue of this host is full. */
    OVERLOADED(503),
    /** No engine has room before the deadline of the request. */
    NO_ROOM(503),
    /** This host is shutting down. */
    DRAINING(503),
    /** Too few claim voters answered. */
    CLAIMS_UNAVAILABLE(503),
    /** This request is suspected to crash backend servers. */
    CRASH_SUSPECT(503),
    /** It is not known at which software version the stream began that the request resumes. */
    ORIGIN_UNKNOWN(503),
    /** No backend server of the software version is left that began the stream. */
    VERSION_GONE(503),
    /** This host reaches neither the configuration service nor any peer. */
    ISOLATED(503),
    /** The backend server failed. */
    BACKEND_FAILED(502),
    /** It cannot be known whether the request ran. */
    OUTCOME_UNKNOWN(504),
    /** The deadline of the request passed. */
    DEADLINE(504);

    private final int httpStatus;

    RefusalCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Tells whether the reason lies in the system rather than in the request. Such a refusal of a workspace within its
     * rate counts as wrongful.
     *
     * @return false if the request, its key, its workspace's usage or its history is the reason
     */
    public boolean isSystemReason() {
        return switch (this) {
            case OVERLOADED,
                    NO_ROOM,
                    DRAINING,
                    CLAIMS_UNAVAILABLE,
                    ORIGIN_UNKNOWN,
                    VERSION_GONE,
                    ISOLATED,
                    BACKEND_FAILED,
                    OUTCOME_UNKNOWN,
                    DEADLINE -> true;
            default -> false;
        };
    }

    /**
     * Returns the HTTP status of a response with this code.
     *
     * @return for example 429
     */
    public int httpStatus() {
        return httpStatus;
    }
}
