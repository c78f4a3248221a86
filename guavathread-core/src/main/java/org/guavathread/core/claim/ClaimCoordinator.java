package org.guavathread.core.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;

/**
 * Runs one request with an idempotency key at most once, whatever other hosts do with the same key. Every call returns
 * the actions to take; exactly one of them over the lifetime of a coordinator is {@link ClaimAction.Relay} or
 * {@link ClaimAction.Refuse}, at the latest {@link ClaimSettings#confirmMillis} after the answer deadline of the call.
 *
 * <pre>{@code
 * ClaimCoordinator coordinator = new ClaimCoordinator(call, ids, log, settings, random);
 * perform(coordinator.start(view, now));
 * // on Dispatch:
 * perform(coordinator.mayDispatch(view, now) ? sendAndNote() : coordinator.timer(view, now));
 * }</pre>
 */
public final class ClaimCoordinator {

    private final ClaimCall call;
    private final AttemptIds ids;
    private final AttemptLog log;
    private final ClaimSettings settings;
    private final Backoff backoff;
    private final Set<AttemptId> ownAbortedAttempts = new HashSet<>();

    private ClaimPhase phase = ClaimPhase.CLAIMING;
    private ClaimRound round;
    private ClaimTally tally;
    private boolean resent;
    private long retryAtMillis;
    private long resendAtMillis;
    private long barrierMillis;
    private long confirmDeadlineMillis;
    private Refusal abortReason;
    private HolderReplies holderReplies;
    private boolean callerAnswered;
    private List<ClaimAction> pendingActions = new ArrayList<>();

    /**
     * Creates a coordinator.
     *
     * @param call the request
     * @param ids generator of attempt ids
     * @param log records the attempts of this host
     * @param settings the times of claims
     * @param random source of the jitter in the backoff after a split vote
     */
    public ClaimCoordinator(
            ClaimCall call, AttemptIds ids, AttemptLog log, ClaimSettings settings, RandomGenerator random) {
        this.call = call;
        this.ids = ids;
        this.log = log;
        this.settings = settings;
        this.backoff = new Backoff(random);
    }

    /**
     * Requests votes for the key.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> start(EpochView view, long nowMillis) {
        Optional<Refusal> refusal = ClaimRefusals.checkIssueTime(call.keyIssuedAtMillis(), settings, nowMillis);
        refusal.ifPresentOrElse(this::refuse, () -> claim(view, nowMillis));
        return drainActions(nowMillis);
    }

    /**
     * Handles a reply from another host, or from this host.
     *
     * @param from the sender
     * @param message the reply; other messages are ignored
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> reply(HostId from, PeerMessage message, EpochView view, long nowMillis) {
        if (phase == ClaimPhase.ENDED) {
            return List.of();
        }
        adoptEpoch(view, nowMillis);
        if (message instanceof ClaimReply reply) {
            onClaimReply(from, reply, nowMillis);
        } else if (message instanceof ClaimAbortReply reply) {
            onAbortReply(from, reply, nowMillis);
        } else if (message instanceof OutcomeReply reply) {
            onOutcomeReply(from, reply, nowMillis);
        }
        return drainActions(nowMillis);
    }

    /**
     * Handles timeouts. Must be called at the time of the last {@link ClaimAction.WaitUntil}, and when the view changes.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> timer(EpochView view, long nowMillis) {
        adoptEpoch(view, nowMillis);
        switch (phase) {
            case CLAIMING -> onClaimTimer(nowMillis);
            case BACKING_OFF -> {
                if (nowMillis >= call.claimDeadlineMillis(settings)) {
                    abort(ClaimRefusals.unavailable(), nowMillis);
                } else if (nowMillis >= retryAtMillis) {
                    claim(view, nowMillis);
                }
            }
            case GRANTED, DISPATCHED -> onDispatchTimer(nowMillis);
            case ABORTING -> onAbortTimer(nowMillis);
            case AWAITING_OUTCOME -> onOutcomeTimer(nowMillis);
            default -> {}
        }
        return drainActions(nowMillis);
    }

    /**
     * Tells whether the request may be sent to the backend server. Must be called immediately before sending, after any
     * wait for budget or a connection; if the result is false, {@link #timer} gives the actions to take.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return true if the request may be sent now
     */
    public boolean mayDispatch(EpochView view, long nowMillis) {
        return phase == ClaimPhase.GRANTED
                && nowMillis <= call.dispatchDeadlineMillis(settings)
                && !view.current().epoch().isNewerThan(round.epoch())
                && tally.hasMajority(ClaimVote.GRANTED);
    }

    /**
     * Records that the request is about to be sent. Must be called directly after {@link #mayDispatch} and before the
     * first byte is written.
     *
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> dispatched(long nowMillis) {
        requirePhase(ClaimPhase.GRANTED);
        phase = ClaimPhase.DISPATCHED;
        log.record(round.attempt(), AttemptState.DISPATCHED, nowMillis);
        return drainActions(nowMillis);
    }

    /**
     * Abandons the request before {@link #dispatched}, for example because the workspace has no budget left.
     *
     * @param refusal what to tell the caller; its run state depends on whether the voters confirm the abort
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> withdraw(Refusal refusal, long nowMillis) {
        if (phase != ClaimPhase.ENDED && phase != ClaimPhase.ABORTING) {
            if (phase == ClaimPhase.DISPATCHED) {
                throw new IllegalStateException(
                        "Attempt " + round.attempt() + " was dispatched; report its end instead.");
            }
            abort(refusal, nowMillis);
        }
        return drainActions(nowMillis);
    }

    /**
     * Handles the answer of the backend server: relays it to the caller and keeps it for resends.
     *
     * @param httpStatus HTTP status of the answer
     * @param answer body of the answer
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> answered(int httpStatus, byte[] answer, long nowMillis) {
        ClaimOutcome outcome =
                new ClaimOutcome(call.key(), round.attempt(), ClaimOutcome.Status.ANSWERED, httpStatus, answer.clone());
        end(outcome, new ClaimAction.Relay(outcome), nowMillis);
        return drainActions(nowMillis);
    }

    /**
     * Handles the failure of a dispatched request, which may have run.
     *
     * @param refusal what to tell the caller; its run state becomes {@code unknown}
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> failed(Refusal refusal, long nowMillis) {
        Refusal unknown = Refusal.unknown(refusal.code(), refusal.message());
        ClaimOutcome failure =
                new ClaimOutcome(call.key(), round.attempt(), ClaimOutcome.Status.FAILED, 0, new byte[0]);
        end(failure, new ClaimAction.Refuse(unknown, Long.MAX_VALUE), nowMillis);
        return drainActions(nowMillis);
    }

    /**
     * Tells whether the coordinator can be dropped.
     *
     * @return true once the caller was answered and no dispatched request is pending
     */
    public boolean isEnded() {
        return phase == ClaimPhase.ENDED;
    }

    private void end(ClaimOutcome outcome, ClaimAction answer, long nowMillis) {
        requirePhase(ClaimPhase.DISPATCHED);
        log.recordOutcome(outcome, nowMillis);
        boolean kept = outcome.answer().length <= ClaimSettings.MAX_KEPT_ANSWER_BYTES;
        sendToAll(kept ? outcome : outcome.withoutAnswer());
        finish(answer);
        phase = ClaimPhase.ENDED;
    }

    private void claim(EpochView view, long nowMillis) {
        phase = ClaimPhase.CLAIMING;
        AttemptId attempt = ids.next();
        log.record(attempt, AttemptState.CLAIMING, nowMillis);
        requestVotes(attempt, view, nowMillis);
    }

    private void requestVotes(AttemptId attempt, EpochView view, long nowMillis) {
        round = new ClaimRound(call, attempt, view.current().epoch());
        tally = new ClaimTally(EpochVoters.requiredFor(call.key(), view, settings, nowMillis));
        resent = false;
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(voteRequest());
    }

    private PeerMessage voteRequest() {
        return phase == ClaimPhase.ABORTING ? round.abort(barrierMillis) : round.request();
    }

    /** Requests all votes again under a newer epoch, because votes of an older epoch do not count under it. */
    private void adoptEpoch(EpochView view, long nowMillis) {
        boolean needsVotes =
                phase == ClaimPhase.CLAIMING || phase == ClaimPhase.GRANTED || phase == ClaimPhase.ABORTING;
        if (needsVotes && view.current().epoch().isNewerThan(round.epoch())) {
            phase = phase == ClaimPhase.GRANTED ? ClaimPhase.CLAIMING : phase;
            requestVotes(round.attempt(), view, nowMillis);
        }
    }

    private void onClaimReply(HostId from, ClaimReply reply, long nowMillis) {
        if (phase != ClaimPhase.CLAIMING || !round.isAnsweredBy(reply)) {
            return;
        }
        if (reply.outcome().isPresent()) {
            release(nowMillis);
            deliver(reply.outcome().get());
            return;
        }
        boolean heldByOwnAborted =
                reply.holder().filter(ownAbortedAttempts::contains).isPresent();
        tally.record(
                from,
                heldByOwnAborted ? ClaimVote.NOT_YET : reply.vote(),
                heldByOwnAborted ? Optional.empty() : reply.holder());
        addEarlierVoters(reply.epoch(), reply.earlier());
        if (tally.hasMajority(ClaimVote.GRANTED)) {
            phase = ClaimPhase.GRANTED;
            pendingActions.add(new ClaimAction.Dispatch(round.attempt(), call.dispatchDeadlineMillis(settings)));
        } else if (reply.vote() == ClaimVote.EXPIRED) {
            release(nowMillis);
            refuse(ClaimRefusals.expired());
        } else if (tally.cannotReachMajority(ClaimVote.GRANTED, v -> v == null || v.mayChange())) {
            resolveConflict(reply.barrierMillis(), nowMillis);
        }
    }

    /** Adds the voters of earlier epochs that a voter knows and this host does not. */
    private void addEarlierVoters(HostEpoch voterEpoch, List<EpochVoters> earlier) {
        if (!voterEpoch.equals(round.epoch())) {
            return;
        }
        Set<HostId> before = tally.voters();
        tally.addGroups(earlier);
        tally.voters().stream().filter(v -> !before.contains(v)).forEach(v -> send(v, voteRequest()));
    }

    /** Waits for the attempt that holds the key, or backs off after a split vote and tries again. */
    private void resolveConflict(long otherBarrierMillis, long nowMillis) {
        Optional<AttemptId> holder = tally.majorityHolder();
        if (holder.isPresent()) {
            release(nowMillis);
            awaitOutcome(holder.get(), nowMillis);
        } else if (tally.has(ClaimVote.HELD)) {
            release(nowMillis);
            startBackoff(nowMillis);
        } else {
            long wait = Math.max(0, otherBarrierMillis - nowMillis);
            abort(ClaimRefusals.unavailable().retryAfter(Math.max(ClaimRefusals.RETRY_AFTER_MILLIS, wait)), nowMillis);
        }
    }

    private void startBackoff(long nowMillis) {
        phase = ClaimPhase.BACKING_OFF;
        retryAtMillis = nowMillis + backoff.nextMillis();
    }

    private void onClaimTimer(long nowMillis) {
        if (nowMillis >= call.claimDeadlineMillis(settings)) {
            abort(ClaimRefusals.unavailable(), nowMillis);
        } else if (nowMillis >= resendAtMillis) {
            if (resent && tally.has(ClaimVote.HELD) && tally.cannotReachMajority(ClaimVote.GRANTED, v -> false)) {
                resolveConflict(0, nowMillis);
                return;
            }
            resend(nowMillis);
        }
    }

    private void onDispatchTimer(long nowMillis) {
        if (phase == ClaimPhase.GRANTED && nowMillis > call.dispatchDeadlineMillis(settings)) {
            abort(ClaimRefusals.dispatchDeadlinePassed(), nowMillis);
        } else if (phase == ClaimPhase.DISPATCHED && nowMillis >= call.answerDeadlineMillis()) {
            refuse(ClaimRefusals.backendTimedOut());
        }
    }

    private void resend(long nowMillis) {
        resent = true;
        // If a release was lost, an earlier attempt of this request would still hold the key.
        ownAbortedAttempts.stream()
                .filter(a -> !a.equals(round.attempt()))
                .forEach(a -> sendRelease(tally.unresolvedVoters(), a));
        resendAtMillis = nowMillis + settings.resendMillis();
        tally.unresolvedVoters().forEach(v -> send(v, voteRequest()));
    }

    /** Releases the key held by the current attempt, which this host will no longer dispatch. */
    private void release(long nowMillis) {
        log.record(round.attempt(), AttemptState.ABORTED, nowMillis);
        ownAbortedAttempts.add(round.attempt());
        sendRelease(tally.voters(), round.attempt());
    }

    private void sendRelease(Iterable<HostId> voters, AttemptId of) {
        voters.forEach(v -> send(v, round.release(of)));
    }

    /**
     * Asks the voters to confirm that the request has not run, and that no attempt that arrives up to the barrier will
     * run. The barrier is the confirmation deadline, after which {@code not_run} is no longer answered, plus the largest
     * clock skew. The deadline is bounded by the time of arrival, because voters forget claims: a coordinator that was
     * paused could otherwise get confirmations from voters that no longer remember that the request has run.
     */
    private void abort(Refusal reason, long nowMillis) {
        log.record(round.attempt(), AttemptState.ABORTED, nowMillis);
        ownAbortedAttempts.add(round.attempt());
        phase = ClaimPhase.ABORTING;
        abortReason = reason;
        confirmDeadlineMillis = Math.min(nowMillis, call.dispatchLimitMillis(settings)) + settings.confirmMillis();
        barrierMillis = confirmDeadlineMillis + settings.clockSkewMillis();
        tally = new ClaimTally(tally.groups());
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(voteRequest());
        if (nowMillis > confirmDeadlineMillis) {
            refuse(ClaimRefusals.unconfirmed(abortReason));
        }
    }

    private void onAbortReply(HostId from, ClaimAbortReply reply, long nowMillis) {
        if (phase != ClaimPhase.ABORTING || !round.isAnsweredBy(reply, barrierMillis)) {
            return;
        }
        if (reply.outcome().isPresent()) {
            deliver(reply.outcome().get());
            return;
        }
        tally.record(from, reply.vote(), Optional.empty());
        addEarlierVoters(reply.epoch(), reply.earlier());
        boolean inTime = nowMillis <= confirmDeadlineMillis;
        if (inTime && tally.hasMajority(ClaimVote.CONFIRMED)) {
            // The voters refuse a resend until every clock has passed the barrier.
            long acceptedFromMillis = barrierMillis + settings.clockSkewMillis();
            long wait = Math.max(abortReason.retryAfterMillis(), acceptedFromMillis - nowMillis);
            finish(new ClaimAction.Refuse(ClaimRefusals.confirmed(abortReason, wait), confirmDeadlineMillis));
        } else if (!inTime
                || tally.cannotReachMajority(
                        ClaimVote.CONFIRMED, v -> v == null || v.mayChange() || v == ClaimVote.HELD)) {
            refuse(ClaimRefusals.unconfirmed(abortReason));
        }
    }

    private void onAbortTimer(long nowMillis) {
        if (nowMillis > confirmDeadlineMillis) {
            refuse(ClaimRefusals.unconfirmed(abortReason));
        } else if (nowMillis >= resendAtMillis) {
            resend(nowMillis);
        }
    }

    private void awaitOutcome(AttemptId holder, long nowMillis) {
        phase = ClaimPhase.AWAITING_OUTCOME;
        holderReplies = new HolderReplies(holder);
        queryOutcome(nowMillis);
    }

    private void queryOutcome(long nowMillis) {
        resendAtMillis = nowMillis + settings.resendMillis();
        send(holderReplies.host(), new OutcomeQuery(call.key(), holderReplies.holder(), true));
        sendToAll(new OutcomeQuery(call.key(), holderReplies.holder(), false));
    }

    private void onOutcomeReply(HostId from, OutcomeReply reply, long nowMillis) {
        if (phase != ClaimPhase.AWAITING_OUTCOME || !reply.attempt().equals(holderReplies.holder())) {
            return;
        }
        if (reply.outcome().isPresent()) {
            deliver(reply.outcome().get());
            return;
        }
        holderReplies.record(from, reply);
        if (holderReplies.isAborted() || holderReplies.isFreed(tally)) {
            // The holder's release of the key may have been lost on the way to some voters.
            if (holderReplies.isAborted()) {
                sendRelease(tally.voters(), holderReplies.holder());
            }
            startBackoff(nowMillis);
        } else if (holderReplies.isEnded()) {
            refuse(ClaimRefusals.answerNotKept());
        } else if (holderReplies.isLost(tally)) {
            refuse(ClaimRefusals.holderLostState(holderReplies.host()));
        }
    }

    private void onOutcomeTimer(long nowMillis) {
        if (nowMillis >= call.answerDeadlineMillis()) {
            refuse(
                    holderReplies.isRunning()
                            ? ClaimRefusals.held(holderReplies.host())
                            : ClaimRefusals.holderUnreachable(holderReplies.host()));
        } else if (nowMillis >= resendAtMillis) {
            queryOutcome(nowMillis);
        }
    }

    private void deliver(ClaimOutcome outcome) {
        if (outcome.status() == ClaimOutcome.Status.ANSWERED) {
            finish(new ClaimAction.Relay(outcome));
        } else {
            refuse(ClaimRefusals.answerNotKept());
        }
    }

    private void refuse(Refusal refusal) {
        finish(new ClaimAction.Refuse(refusal, Long.MAX_VALUE));
    }

    private void finish(ClaimAction answer) {
        if (!callerAnswered) {
            callerAnswered = true;
            pendingActions.add(answer);
        }
        if (phase != ClaimPhase.DISPATCHED) {
            phase = ClaimPhase.ENDED;
        }
    }

    private void send(HostId to, PeerMessage message) {
        pendingActions.add(new ClaimAction.Send(to, message));
    }

    private void sendToAll(PeerMessage message) {
        tally.voters().forEach(v -> send(v, message));
    }

    private List<ClaimAction> drainActions(long nowMillis) {
        long wakeAtMillis = nextWakeAtMillis();
        if (wakeAtMillis != Long.MAX_VALUE) {
            pendingActions.add(new ClaimAction.WaitUntil(Math.max(wakeAtMillis, nowMillis + 1)));
        }
        List<ClaimAction> actions = pendingActions;
        pendingActions = new ArrayList<>();
        return actions;
    }

    private long nextWakeAtMillis() {
        return switch (phase) {
            case CLAIMING -> Math.min(resendAtMillis, call.claimDeadlineMillis(settings));
            case BACKING_OFF -> Math.min(retryAtMillis, call.claimDeadlineMillis(settings));
            case GRANTED -> call.dispatchDeadlineMillis(settings) + 1;
            case DISPATCHED -> callerAnswered ? Long.MAX_VALUE : call.answerDeadlineMillis();
            case ABORTING -> Math.min(resendAtMillis, confirmDeadlineMillis + 1);
            case AWAITING_OUTCOME -> Math.min(resendAtMillis, call.answerDeadlineMillis());
            case ENDED -> Long.MAX_VALUE;
        };
    }

    private void requirePhase(ClaimPhase expected) {
        if (phase != expected) {
            throw new IllegalStateException("Attempt " + round.attempt() + " is " + phase + ", not " + expected
                    + "; call mayDispatch before sending.");
        }
    }
}
