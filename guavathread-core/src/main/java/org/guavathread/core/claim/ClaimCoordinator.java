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
    private final BackOff backOff;
    private final Set<AttemptId> ownAborted = new HashSet<>();

    private ClaimPhase phase = ClaimPhase.CLAIMING;
    private ClaimRound round;
    private ClaimTally tally;
    private boolean resent;
    private long retryAtMillis;
    private long resendAtMillis;
    private long barrierMillis;
    private long confirmDeadlineMillis;
    private Refusal abortReason;
    private HolderWatch watch;
    private boolean callerAnswered;
    private List<ClaimAction> out = new ArrayList<>();

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
        this.backOff = new BackOff(random);
    }

    /**
     * Requests votes for the key.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> start(EpochView view, long nowMillis) {
        Optional<Refusal> refusal = ClaimRefusals.ofIssueTime(call.keyIssuedAtMillis(), settings, nowMillis);
        refusal.ifPresentOrElse(this::refuse, () -> claim(view, nowMillis));
        return taken(nowMillis);
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
        adopt(view, nowMillis);
        if (message instanceof ClaimReply reply) {
            onClaimReply(from, reply, nowMillis);
        } else if (message instanceof ClaimAbortReply reply) {
            onAbortReply(from, reply, nowMillis);
        } else if (message instanceof OutcomeReply reply) {
            onOutcomeReply(from, reply, nowMillis);
        }
        return taken(nowMillis);
    }

    /**
     * Handles timeouts. Must be called at the time of the last {@link ClaimAction.WaitUntil}, and when the view changes.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> timer(EpochView view, long nowMillis) {
        adopt(view, nowMillis);
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
            case FOLLOWING -> onFollowTimer(nowMillis);
            default -> {}
        }
        return taken(nowMillis);
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
                && tally.reached(ClaimVote.GRANTED);
    }

    /**
     * Records that the request is about to be sent. Must be called directly after {@link #mayDispatch} and before the
     * first byte is written.
     *
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> dispatched(long nowMillis) {
        require(ClaimPhase.GRANTED);
        phase = ClaimPhase.DISPATCHED;
        log.record(round.attempt(), AttemptState.DISPATCHED, nowMillis);
        return taken(nowMillis);
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
        return taken(nowMillis);
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
        ClaimOutcome whole =
                new ClaimOutcome(call.key(), round.attempt(), ClaimOutcome.Status.ANSWERED, httpStatus, answer.clone());
        end(whole, new ClaimAction.Relay(whole), nowMillis);
        return taken(nowMillis);
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
        return taken(nowMillis);
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
        require(ClaimPhase.DISPATCHED);
        log.ended(outcome, nowMillis);
        boolean kept = outcome.answer().length <= ClaimSettings.MAX_KEPT_ANSWER_BYTES;
        sendToAll(kept ? outcome : outcome.withoutAnswer());
        finish(answer);
        phase = ClaimPhase.ENDED;
    }

    private void claim(EpochView view, long nowMillis) {
        phase = ClaimPhase.CLAIMING;
        AttemptId attempt = ids.next();
        log.record(attempt, AttemptState.CLAIMING, nowMillis);
        ask(attempt, view, nowMillis);
    }

    private void ask(AttemptId attempt, EpochView view, long nowMillis) {
        round = new ClaimRound(call, attempt, view.current().epoch());
        tally = new ClaimTally(EpochVoters.counting(call.key(), view, settings, nowMillis));
        resent = false;
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(question());
    }

    private PeerMessage question() {
        return phase == ClaimPhase.ABORTING ? round.abort(barrierMillis) : round.request();
    }

    /** Requests all votes again under a newer epoch, because votes of an older epoch do not count under it. */
    private void adopt(EpochView view, long nowMillis) {
        boolean counts = phase == ClaimPhase.CLAIMING || phase == ClaimPhase.GRANTED || phase == ClaimPhase.ABORTING;
        if (counts && view.current().epoch().isNewerThan(round.epoch())) {
            phase = phase == ClaimPhase.GRANTED ? ClaimPhase.CLAIMING : phase;
            ask(round.attempt(), view, nowMillis);
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
        boolean ownRelease = reply.holder().filter(ownAborted::contains).isPresent();
        tally.record(
                from, ownRelease ? ClaimVote.NOT_YET : reply.vote(), ownRelease ? Optional.empty() : reply.holder());
        learnEarlier(reply.epoch(), reply.earlier());
        if (tally.reached(ClaimVote.GRANTED)) {
            phase = ClaimPhase.GRANTED;
            out.add(new ClaimAction.Dispatch(round.attempt(), call.dispatchDeadlineMillis(settings)));
        } else if (reply.vote() == ClaimVote.EXPIRED) {
            release(nowMillis);
            refuse(ClaimRefusals.expired());
        } else if (tally.blocked(ClaimVote.GRANTED, v -> v == null || v.mayChange())) {
            giveWay(reply.barrierMillis(), nowMillis);
        }
    }

    /** Adds the voters of earlier epochs that a voter knows and this host does not. */
    private void learnEarlier(HostEpoch voterEpoch, List<EpochVoters> earlier) {
        if (!voterEpoch.equals(round.epoch())) {
            return;
        }
        Set<HostId> before = tally.voters();
        tally.addGroups(earlier);
        tally.voters().stream().filter(v -> !before.contains(v)).forEach(v -> send(v, question()));
    }

    /** Waits for the attempt that holds the key, or backs off after a split vote and tries again. */
    private void giveWay(long otherBarrierMillis, long nowMillis) {
        Optional<AttemptId> holder = tally.majorityHolder();
        if (holder.isPresent()) {
            release(nowMillis);
            follow(holder.get(), nowMillis);
        } else if (tally.has(ClaimVote.HELD)) {
            release(nowMillis);
            backOff(nowMillis);
        } else {
            long wait = Math.max(0, otherBarrierMillis - nowMillis);
            abort(ClaimRefusals.unavailable().retryAfter(Math.max(ClaimRefusals.RETRY_AFTER_MILLIS, wait)), nowMillis);
        }
    }

    private void backOff(long nowMillis) {
        phase = ClaimPhase.BACKING_OFF;
        retryAtMillis = nowMillis + backOff.nextMillis();
    }

    private void onClaimTimer(long nowMillis) {
        if (nowMillis >= call.claimDeadlineMillis(settings)) {
            abort(ClaimRefusals.unavailable(), nowMillis);
        } else if (nowMillis >= resendAtMillis) {
            if (resent && tally.has(ClaimVote.HELD) && tally.blocked(ClaimVote.GRANTED, v -> false)) {
                giveWay(0, nowMillis);
                return;
            }
            resend(nowMillis);
        }
    }

    private void onDispatchTimer(long nowMillis) {
        if (phase == ClaimPhase.GRANTED && nowMillis > call.dispatchDeadlineMillis(settings)) {
            abort(ClaimRefusals.waitedTooLong(), nowMillis);
        } else if (phase == ClaimPhase.DISPATCHED && nowMillis >= call.answerDeadlineMillis()) {
            refuse(ClaimRefusals.noAnswerInTime());
        }
    }

    private void resend(long nowMillis) {
        resent = true;
        // If a release was lost, an earlier attempt of this request would still hold the key.
        ownAborted.stream().filter(a -> !a.equals(round.attempt())).forEach(a -> sendRelease(tally.open(), a));
        resendAtMillis = nowMillis + settings.resendMillis();
        tally.open().forEach(v -> send(v, question()));
    }

    /** Releases the key held by the current attempt, which this host will no longer dispatch. */
    private void release(long nowMillis) {
        log.record(round.attempt(), AttemptState.ABORTED, nowMillis);
        ownAborted.add(round.attempt());
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
        ownAborted.add(round.attempt());
        phase = ClaimPhase.ABORTING;
        abortReason = reason;
        confirmDeadlineMillis = Math.min(nowMillis, call.dispatchLimitMillis(settings)) + settings.confirmMillis();
        barrierMillis = confirmDeadlineMillis + settings.clockSkewMillis();
        tally = new ClaimTally(tally.groups());
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(question());
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
        learnEarlier(reply.epoch(), reply.earlier());
        boolean inTime = nowMillis <= confirmDeadlineMillis;
        if (inTime && tally.reached(ClaimVote.CONFIRMED)) {
            // The voters refuse a resend until every clock has passed the barrier.
            long opensAt = barrierMillis + settings.clockSkewMillis();
            long wait = Math.max(abortReason.retryAfterMillis(), opensAt - nowMillis);
            finish(new ClaimAction.Refuse(ClaimRefusals.confirmed(abortReason, wait), confirmDeadlineMillis));
        } else if (!inTime
                || tally.blocked(ClaimVote.CONFIRMED, v -> v == null || v.mayChange() || v == ClaimVote.HELD)) {
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

    private void follow(AttemptId holder, long nowMillis) {
        phase = ClaimPhase.FOLLOWING;
        watch = new HolderWatch(holder);
        query(nowMillis);
    }

    private void query(long nowMillis) {
        resendAtMillis = nowMillis + settings.resendMillis();
        send(watch.host(), new OutcomeQuery(call.key(), watch.holder(), true));
        sendToAll(new OutcomeQuery(call.key(), watch.holder(), false));
    }

    private void onOutcomeReply(HostId from, OutcomeReply reply, long nowMillis) {
        if (phase != ClaimPhase.FOLLOWING || !reply.attempt().equals(watch.holder())) {
            return;
        }
        if (reply.outcome().isPresent()) {
            deliver(reply.outcome().get());
            return;
        }
        watch.record(from, reply);
        if (watch.isAborted() || watch.isFreed(tally)) {
            // The holder's release of the key may have been lost on the way to some voters.
            if (watch.isAborted()) {
                sendRelease(tally.voters(), watch.holder());
            }
            backOff(nowMillis);
        } else if (watch.isEnded()) {
            refuse(ClaimRefusals.answerNotKept());
        } else if (watch.isLost(tally)) {
            refuse(ClaimRefusals.holderForgot(watch.host()));
        }
    }

    private void onFollowTimer(long nowMillis) {
        if (nowMillis >= call.answerDeadlineMillis()) {
            refuse(watch.isRunning() ? ClaimRefusals.held(watch.host()) : ClaimRefusals.holderSilent(watch.host()));
        } else if (nowMillis >= resendAtMillis) {
            query(nowMillis);
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
            out.add(answer);
        }
        if (phase != ClaimPhase.DISPATCHED) {
            phase = ClaimPhase.ENDED;
        }
    }

    private void send(HostId to, PeerMessage message) {
        out.add(new ClaimAction.Send(to, message));
    }

    private void sendToAll(PeerMessage message) {
        tally.voters().forEach(v -> send(v, message));
    }

    private List<ClaimAction> taken(long nowMillis) {
        long wakeAt = wakeAtMillis();
        if (wakeAt != Long.MAX_VALUE) {
            out.add(new ClaimAction.WaitUntil(Math.max(wakeAt, nowMillis + 1)));
        }
        List<ClaimAction> actions = out;
        out = new ArrayList<>();
        return actions;
    }

    private long wakeAtMillis() {
        return switch (phase) {
            case CLAIMING -> Math.min(resendAtMillis, call.claimDeadlineMillis(settings));
            case BACKING_OFF -> Math.min(retryAtMillis, call.claimDeadlineMillis(settings));
            case GRANTED -> call.dispatchDeadlineMillis(settings) + 1;
            case DISPATCHED -> callerAnswered ? Long.MAX_VALUE : call.answerDeadlineMillis();
            case ABORTING -> Math.min(resendAtMillis, confirmDeadlineMillis + 1);
            case FOLLOWING -> Math.min(resendAtMillis, call.answerDeadlineMillis());
            case ENDED -> Long.MAX_VALUE;
        };
    }

    private void require(ClaimPhase expected) {
        if (phase != expected) {
            throw new IllegalStateException("Attempt " + round.attempt() + " is " + phase + ", not " + expected
                    + "; call mayDispatch before sending.");
        }
    }
}
