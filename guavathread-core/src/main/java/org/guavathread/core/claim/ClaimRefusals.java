package org.guavathread.core.claim;

import java.util.Optional;

import org.guavathread.core.id.HostId;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;

/** Builds the refusals of a coordinator; their run state is {@code unknown} unless voters have confirmed an abort. */
final class ClaimRefusals {

    /** After this time, a restarted or recovered host can vote again. */
    static final long RETRY_AFTER_MILLIS = 1_000;

    private ClaimRefusals() {}

    static Refusal unavailable() {
        return Refusal.unknown(
                        RefusalCode.CLAIMS_UNAVAILABLE, "Too few hosts could vote on this request; send it again.")
                .retryAfter(RETRY_AFTER_MILLIS);
    }

    static Refusal dispatchDeadlinePassed() {
        return Refusal.unknown(RefusalCode.DEADLINE, "The request waited too long; send it again.");
    }

    static Refusal expired() {
        return Refusal.unknown(
                RefusalCode.KEY_EXPIRED, "The idempotency key is older than claims are kept; use a new key.");
    }

    /** Refuses a key that is expired, or whose time of issue is so far in the future that it cannot be trusted. */
    static Optional<Refusal> checkIssueTime(long issuedAtMillis, ClaimSettings settings, long nowMillis) {
        if (issuedAtMillis == IssueTimes.UNKNOWN) {
            return Optional.empty();
        }
        if (issuedAtMillis > nowMillis + settings.issueLeadMillis()) {
            return Optional.of(Refusal.unknown(
                    RefusalCode.BAD_REQUEST,
                    "The idempotency key was issued in the future, at " + issuedAtMillis
                            + " ms; set the clock of the caller."));
        }
        return issuedAtMillis + settings.retentionMillis() <= nowMillis ? Optional.of(expired()) : Optional.empty();
    }

    static Refusal confirmed(Refusal reason, long retryAfterMillis) {
        return Refusal.notRun(reason.code(), reason.message()).retryAfter(retryAfterMillis);
    }

    static Refusal unconfirmed(Refusal reason) {
        return Refusal.unknown(reason.code(), reason.message()).retryAfter(reason.retryAfterMillis());
    }

    static Refusal held(HostId holder) {
        return Refusal.unknown(
                RefusalCode.CLAIM_HELD, "Host " + holder + " still runs this request; send it again for its answer.");
    }

    static Refusal holderLostState(HostId holder) {
        return outcomeUnknown("Host " + holder + " took this request before and has lost its state");
    }

    static Refusal holderUnreachable(HostId holder) {
        return outcomeUnknown("Host " + holder + " took this request before and does not answer");
    }

    static Refusal answerNotKept() {
        return outcomeUnknown("The request was run before and its answer is not available");
    }

    static Refusal backendTimedOut() {
        return outcomeUnknown("The backend server has not answered in time");
    }

    private static Refusal outcomeUnknown(String cause) {
        return Refusal.unknown(
                RefusalCode.OUTCOME_UNKNOWN, cause + "; check whether it ran before you send a new one.");
    }
}
