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
import org.guavathread.core.request.RefusalCode;

/**
 * Runs one request with an idempotency key at most once, whatever other hosts do with the same key. Every call returns
 * the actions to take; exactly one of them over the whole life is {@link ClaimAction.Relay} or
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

    private static final int FIRST_BACK_OFF_MILLIS = 20;
    private static final int MAX_BACK_OFF_DOUBLINGS = 4;
    /** Leaves the releases of the round before the time to arrive. */
    private static final int MIN_BACK_OFF_MILLIS = 5;

    private enum Phase {
        CLAIMING,
        BACKING_OFF,
        GRANTED,
        DISPATCHED,
        ABORTING,
        FOLLOWING,
        ENDED
    }

    private final ClaimCall call;
    private final AttemptIds ids;
    private final AttemptLog log;
    private final ClaimSettings settings;
    private final RandomGenerator random;
    private final Set<AttemptId> ownAborted = new HashSet<>();
    private final Set<HostId> lettingGo = new HashSet<>();
    private final Set<HostId> withoutOutcome = new HashSet<>();

    private Phase phase = Phase.CLAIMING;
    private AttemptId attempt;
    private HostEpoch epoch;
    private ClaimTally tally;
    private int round;
    private boolean resent;
    private long retryAtMillis;
    private long resendAtMillis;
    private long barrierMillis;
    private long confirmDeadlineMillis;
    private Refusal abortReason;
    private AttemptId followed;
    private boolean holderRuns;
    private boolean holderForgot;
    private boolean callerAnswered;
    private List<ClaimAction> out = new ArrayList<>();

    /**
     * Prepares a coordinator.
     *
     * @param call the request
     * @param ids where attempts get their ids from
     * @param log where this host notes its attempts
     * @param settings the times of claims
     * @param random where the back-off after a split vote comes from
     */
    public ClaimCoordinator(
            ClaimCall call, AttemptIds ids, AttemptLog log, ClaimSettings settings, RandomGenerator random) {
        this.call = call;
        this.ids = ids;
        this.log = log;
        this.settings = settings;
        this.random = random;
    }

    /**
     * Asks the voters.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> start(EpochView view, long nowMillis) {
        long issuedAt = call.keyIssuedAtMillis();
        if (issuedAt != IssueTimes.UNKNOWN && issuedAt > nowMillis + settings.issueLeadMillis()) {
            refuse(Refusal.unknown(
                    RefusalCode.BAD_REQUEST,
                    "The idempotency key was issued in the future, at " + issuedAt
                            + " ms; set the clock of the caller."));
        } else if (issuedAt != IssueTimes.UNKNOWN && issuedAt + settings.retentionMillis() <= nowMillis) {
            refuse(expired());
        } else {
            claim(view, nowMillis);
        }
        return taken(nowMillis);
    }

    /**
     * Takes a reply of another host, or of this host.
     *
     * @param from the sender
     * @param message the reply; other messages are ignored
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> reply(HostId from, PeerMessage message, EpochView view, long nowMillis) {
        if (phase == Phase.ENDED) {
            return List.of();
        }
        adopt(view, nowMillis);
        if (message instanceof ClaimReply reply) {
            onClaimReply(from, reply, view, nowMillis);
        } else if (message instanceof ClaimAbortReply reply) {
            onAbortReply(from, reply, nowMillis);
        } else if (message instanceof OutcomeReply reply) {
            onOutcomeReply(from, reply, nowMillis);
        }
        return taken(nowMillis);
    }

    /**
     * Acts on the time. To be called at the time of the last {@link ClaimAction.WaitUntil}, and when the view changes.
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
                if (nowMillis >= claimDeadlineMillis()) {
                    abort(unavailable(), nowMillis);
                } else if (nowMillis >= retryAtMillis) {
                    claim(view, nowMillis);
                }
            }
            case GRANTED -> {
                if (nowMillis > dispatchDeadlineMillis()) {
                    abort(
                            Refusal.notRun(RefusalCode.DEADLINE, "The request waited too long; send it again."),
                            nowMillis);
                }
            }
            case DISPATCHED -> {
                if (nowMillis >= call.answerDeadlineMillis()) {
                    refuse(outcomeUnknown("The backend server has not answered in time"));
                }
            }
            case ABORTING -> onAbortTimer(nowMillis);
            case FOLLOWING -> onFollowTimer(nowMillis);
            default -> {}
        }
        return taken(nowMillis);
    }

    /**
     * Tells whether the request may be sent to the backend server. To be called immediately before the send, after all
     * waiting for budget and connections; if it is false, {@link #timer} gives the actions to take.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return true if the request may be sent now
     */
    public boolean mayDispatch(EpochView view, long nowMillis) {
        return phase == Phase.GRANTED
                && nowMillis <= dispatchDeadlineMillis()
                && !view.current().epoch().isNewerThan(epoch)
                && tally.reached(ClaimVote.GRANTED);
    }

    /**
     * Notes that the request is about to be sent. To be called directly after {@link #mayDispatch} and before the
     * first byte is written.
     *
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> dispatched(long nowMillis) {
        require(Phase.GRANTED);
        phase = Phase.DISPATCHED;
        log.record(attempt, AttemptState.DISPATCHED, nowMillis);
        return taken(nowMillis);
    }

    /**
     * Gives the request up before {@link #dispatched}, for example because the workspace has no budget left.
     *
     * @param refusal what to tell the caller; its run state is set according to the confirmations of the voters
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> withdraw(Refusal refusal, long nowMillis) {
        if (phase != Phase.ENDED && phase != Phase.ABORTING) {
            if (phase == Phase.DISPATCHED) {
                throw new IllegalStateException("Attempt " + attempt + " was dispatched; report its end instead.");
            }
            abort(refusal, nowMillis);
        }
        return taken(nowMillis);
    }

    /**
     * Takes the answer of the backend server, for the caller and for resends.
     *
     * @param httpStatus HTTP status of the answer
     * @param answer body of the answer
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> answered(int httpStatus, byte[] answer, long nowMillis) {
        ClaimOutcome whole =
                new ClaimOutcome(call.key(), attempt, ClaimOutcome.Status.ANSWERED, httpStatus, answer.clone());
        end(whole, new ClaimAction.Relay(whole), nowMillis);
        return taken(nowMillis);
    }

    /**
     * Takes the failure of a dispatched request; it may have run.
     *
     * @param refusal what to tell the caller, {@code unknown}
     * @param nowMillis the current time
     * @return the actions to take
     */
    public List<ClaimAction> failed(Refusal refusal, long nowMillis) {
        Refusal unknown = Refusal.unknown(refusal.code(), refusal.message());
        ClaimOutcome failure = new ClaimOutcome(call.key(), attempt, ClaimOutcome.Status.FAILED, 0, new byte[0]);
        end(failure, new ClaimAction.Refuse(unknown, Long.MAX_VALUE), nowMillis);
        return taken(nowMillis);
    }

    /**
     * Tells whether the coordinator can be dropped.
     *
     * @return true once the caller was answered and no dispatched request is open
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    private void end(ClaimOutcome outcome, ClaimAction answer, long nowMillis) {
        require(Phase.DISPATCHED);
        log.ended(outcome, nowMillis);
        boolean kept = outcome.answer().length <= ClaimSettings.MAX_KEPT_ANSWER_BYTES;
        sendToAll(kept ? outcome : outcome.withoutAnswer());
        finish(answer);
        phase = Phase.ENDED;
    }

    private void claim(EpochView view, long nowMillis) {
        round++;
        attempt = ids.next();
        log.record(attempt, AttemptState.CLAIMING, nowMillis);
        phase = Phase.CLAIMING;
        ask(view, nowMillis);
    }

    private void ask(EpochView view, long nowMillis) {
        epoch = view.current().epoch();
        tally = new ClaimTally(EpochVoters.counting(call.key(), view, settings, nowMillis));
        resent = false;
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(question());
    }

    private PeerMessage question() {
        return phase == Phase.ABORTING
                ? new ClaimAbort(call.key(), attempt, epoch, call.keyIssuedAtMillis(), barrierMillis)
                : new ClaimRequest(call.key(), attempt, epoch, call.arrivedAtMillis(), call.keyIssuedAtMillis());
    }

    /** Votes of an older epoch do not count under a newer one: every voter is asked again. */
    private void adopt(EpochView view, long nowMillis) {
        boolean counts = phase == Phase.CLAIMING || phase == Phase.GRANTED || phase == Phase.ABORTING;
        if (counts && view.current().epoch().isNewerThan(epoch)) {
            phase = phase == Phase.GRANTED ? Phase.CLAIMING : phase;
            ask(view, nowMillis);
        }
    }

    private void onClaimReply(HostId from, ClaimReply reply, EpochView view, long nowMillis) {
        if (phase != Phase.CLAIMING
                || !reply.attempt().equals(attempt)
                || !reply.asked().equals(epoch)) {
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
            phase = Phase.GRANTED;
            out.add(new ClaimAction.Dispatch(attempt, dispatchDeadlineMillis()));
        } else if (reply.vote() == ClaimVote.EXPIRED) {
            release(nowMillis);
            refuse(expired());
        } else if (tally.blocked(ClaimVote.GRANTED, v -> v == null || v.mayChange())) {
            giveWay(reply.barrierMillis(), nowMillis);
        }
    }

    /** Adds the voters of epochs that this host does not know and a voter does. */
    private void learnEarlier(HostEpoch voterEpoch, List<EpochVoters> earlier) {
        if (!voterEpoch.equals(epoch)) {
            return;
        }
        Set<HostId> before = tally.voters();
        tally.addGroups(earlier);
        tally.voters().stream().filter(v -> !before.contains(v)).forEach(v -> send(v, question()));
    }

    /** Leaves the key to the attempt that has it, or resolves a split vote by a later round. */
    private void giveWay(long otherBarrierMillis, long nowMillis) {
        Optional<AttemptId> holder = tally.majorityHolder();
        if (holder.isPresent()) {
            release(nowMillis);
            follow(holder.get(), nowMillis);
        } else if (tally.has(ClaimVote.HELD)) {
            backOff(nowMillis);
        } else {
            long wait = Math.max(0, otherBarrierMillis - nowMillis);
            abort(unavailable().retryAfter(wait), nowMillis);
        }
    }

    private void backOff(long nowMillis) {
        release(nowMillis);
        phase = Phase.BACKING_OFF;
        int bound = FIRST_BACK_OFF_MILLIS << Math.min(round, MAX_BACK_OFF_DOUBLINGS);
        retryAtMillis = nowMillis + MIN_BACK_OFF_MILLIS + random.nextInt(bound);
    }

    private void onClaimTimer(long nowMillis) {
        if (nowMillis >= claimDeadlineMillis()) {
            abort(unavailable(), nowMillis);
        } else if (nowMillis >= resendAtMillis) {
            if (resent && tally.has(ClaimVote.HELD) && tally.blocked(ClaimVote.GRANTED, v -> false)) {
                giveWay(0, nowMillis);
                return;
            }
            resend(nowMillis);
        }
    }

    private void resend(long nowMillis) {
        resent = true;
        // A lost release would leave the key with an earlier attempt of this request.
        ownAborted.stream().filter(a -> !a.equals(attempt)).forEach(a -> sendRelease(tally.open(), a));
        resendAtMillis = nowMillis + settings.resendMillis();
        tally.open().forEach(v -> send(v, question()));
    }

    /** Frees the key of the current attempt, which this host will not dispatch from now on. */
    private void release(long nowMillis) {
        log.record(attempt, AttemptState.ABORTED, nowMillis);
        ownAborted.add(attempt);
        sendRelease(tally.voters(), attempt);
    }

    private void sendRelease(Iterable<HostId> voters, AttemptId of) {
        voters.forEach(
                v -> send(v, new ClaimAbort(call.key(), of, epoch, call.keyIssuedAtMillis(), ClaimAbort.RELEASE_ONLY)));
    }

    /**
     * Asks the voters to confirm that nothing has run and that nothing which has arrived by the barrier will run. The
     * barrier lies one clock difference after the last moment at which {@code not_run} is told.
     */
    private void abort(Refusal reason, long nowMillis) {
        log.record(attempt, AttemptState.ABORTED, nowMillis);
        ownAborted.add(attempt);
        phase = Phase.ABORTING;
        abortReason = reason;
        confirmDeadlineMillis = nowMillis + settings.confirmMillis();
        barrierMillis = confirmDeadlineMillis + settings.clockSkewMillis();
        tally = new ClaimTally(tally.groups());
        resendAtMillis = nowMillis + settings.resendMillis();
        sendToAll(question());
    }

    private void onAbortReply(HostId from, ClaimAbortReply reply, long nowMillis) {
        if (phase != Phase.ABORTING
                || !reply.attempt().equals(attempt)
                || !reply.asked().equals(epoch)
                || reply.barrierMillis() != barrierMillis) {
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
            // A resend is refused by the voters until every clock has passed the barrier.
            long opensAt = barrierMillis + settings.clockSkewMillis();
            long wait = Math.max(abortReason.retryAfterMillis(), opensAt - nowMillis);
            Refusal told = Refusal.notRun(abortReason.code(), abortReason.message());
            finish(new ClaimAction.Refuse(told.retryAfter(wait), confirmDeadlineMillis));
        } else if (!inTime
                || tally.blocked(ClaimVote.CONFIRMED, v -> v == null || v.mayChange() || v == ClaimVote.HELD)) {
            refuseUnconfirmed();
        }
    }

    private void onAbortTimer(long nowMillis) {
        if (nowMillis > confirmDeadlineMillis) {
            refuseUnconfirmed();
        } else if (nowMillis >= resendAtMillis) {
            resend(nowMillis);
        }
    }

    private void refuseUnconfirmed() {
        refuse(Refusal.unknown(abortReason.code(), abortReason.message()).retryAfter(abortReason.retryAfterMillis()));
    }

    private void follow(AttemptId holder, long nowMillis) {
        phase = Phase.FOLLOWING;
        followed = holder;
        holderRuns = false;
        holderForgot = false;
        lettingGo.clear();
        withoutOutcome.clear();
        query(nowMillis);
    }

    private void query(long nowMillis) {
        resendAtMillis = nowMillis + settings.resendMillis();
        send(followed.host(), new OutcomeQuery(call.key(), followed, true));
        sendToAll(new OutcomeQuery(call.key(), followed, false));
    }

    private void onOutcomeReply(HostId from, OutcomeReply reply, long nowMillis) {
        if (phase != Phase.FOLLOWING || !reply.attempt().equals(followed)) {
            return;
        }
        if (reply.outcome().isPresent()) {
            deliver(reply.outcome().get());
        } else if (reply.fromHolder()) {
            onHolderReply(reply.state(), nowMillis);
        } else if (reply.state() == AttemptState.ABORTED || reply.state() == AttemptState.NOT_KNOWN) {
            lettingGo.add(from);
            if (tally.isMajority(lettingGo)) {
                backOffAfterFollowing(nowMillis);
            }
        } else {
            withoutOutcome.add(from);
        }
        if (phase == Phase.FOLLOWING && holderForgot && tally.isMajority(withoutOutcome)) {
            refuse(outcomeUnknown("Host " + followed.host() + " took this request before and has lost its state"));
        }
    }

    private void onHolderReply(AttemptState state, long nowMillis) {
        holderRuns = state == AttemptState.DISPATCHED || state == AttemptState.CLAIMING;
        holderForgot = state == AttemptState.NOT_KNOWN;
        if (state == AttemptState.ABORTED) {
            // The message by which the holder freed the key was lost.
            sendRelease(tally.voters(), followed);
            backOffAfterFollowing(nowMillis);
        } else if (state == AttemptState.ENDED) {
            refuse(outcomeUnknown("The answer to this request is not kept any more"));
        }
    }

    private void backOffAfterFollowing(long nowMillis) {
        phase = Phase.BACKING_OFF;
        retryAtMillis = nowMillis + MIN_BACK_OFF_MILLIS + random.nextInt(FIRST_BACK_OFF_MILLIS);
    }

    private void onFollowTimer(long nowMillis) {
        if (nowMillis >= call.answerDeadlineMillis()) {
            refuse(
                    holderRuns
                            ? Refusal.unknown(
                                    RefusalCode.CLAIM_HELD,
                                    "Host " + followed.host()
                                            + " still runs this request; send it again for its answer.")
                            : outcomeUnknown(
                                    "Host " + followed.host() + " took this request before and does not answer"));
        } else if (nowMillis >= resendAtMillis) {
            query(nowMillis);
        }
    }

    private void deliver(ClaimOutcome outcome) {
        if (outcome.status() == ClaimOutcome.Status.ANSWERED) {
            finish(new ClaimAction.Relay(outcome));
        } else {
            refuse(outcomeUnknown("The request was run before and its answer is not available"));
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
        if (phase != Phase.DISPATCHED) {
            phase = Phase.ENDED;
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
            case CLAIMING -> Math.min(resendAtMillis, claimDeadlineMillis());
            case BACKING_OFF -> Math.min(retryAtMillis, claimDeadlineMillis());
            case GRANTED -> dispatchDeadlineMillis() + 1;
            case DISPATCHED -> callerAnswered ? Long.MAX_VALUE : call.answerDeadlineMillis();
            case ABORTING -> Math.min(resendAtMillis, confirmDeadlineMillis + 1);
            case FOLLOWING -> Math.min(resendAtMillis, call.answerDeadlineMillis());
            case ENDED -> Long.MAX_VALUE;
        };
    }

    private long dispatchDeadlineMillis() {
        return Math.min(call.arrivedAtMillis() + settings.dispatchMillis(), call.answerDeadlineMillis());
    }

    /** Leaves time to confirm an abort before the caller stops waiting. */
    private long claimDeadlineMillis() {
        long patience = call.answerDeadlineMillis() - call.arrivedAtMillis();
        return Math.min(
                dispatchDeadlineMillis(),
                call.answerDeadlineMillis() - Math.min(settings.confirmMillis(), patience / 2));
    }

    private void require(Phase expected) {
        if (phase != expected) {
            throw new IllegalStateException(
                    "Attempt " + attempt + " is " + phase + ", not " + expected + "; call mayDispatch before sending.");
        }
    }

    private static Refusal unavailable() {
        return Refusal.unknown(
                RefusalCode.CLAIMS_UNAVAILABLE, "Too few hosts could vote on this request; send it again.");
    }

    private static Refusal expired() {
        return Refusal.unknown(
                RefusalCode.KEY_EXPIRED, "The idempotency key is older than claims are kept; use a new key.");
    }

    private static Refusal outcomeUnknown(String why) {
        return Refusal.unknown(RefusalCode.OUTCOME_UNKNOWN, why + "; check whether it ran before you send a new one.");
    }
}
