package org.guavathread.core.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.EpochView;

/**
 * Votes for one host. A key is granted to one attempt only, until the attempt is aborted or the retention has passed.
 *
 * <p>The number of records is bounded. A voter that has reached its limit, or that of a workspace, does not vote for new
 * keys; it never evicts a recorded claim. Answers are evicted oldest first; resends are then answered {@code unknown}.
 */
public final class ClaimVoter {

    private static final long SWEEP_MILLIS = 1_000;

    private final HostId self;
    private final Incarnation incarnation;
    private final ClaimSettings settings;
    private final Map<ClaimKey, VoterEntry> entries = new HashMap<>();
    private final Map<WorkspaceId, Integer> entriesByWorkspace = new HashMap<>();
    private final AnswerStore answers;
    private long recordsSinceMillis;
    private HostEpoch knownEpoch;
    private long knownLeaseDeadlineMillis;
    private boolean awaitsSettledEpoch;
    private long nextSweepAtMillis;

    /**
     * Creates a voter without records.
     *
     * @param self this host
     * @param incarnation the incarnation of this process
     * @param recordsSinceMillis since when claims are recorded: the start of the process, or of the duty if the duty was
     *     restarted within the process
     * @param settings times and limits
     */
    public ClaimVoter(HostId self, Incarnation incarnation, long recordsSinceMillis, ClaimSettings settings) {
        this.self = self;
        this.incarnation = incarnation;
        this.recordsSinceMillis = recordsSinceMillis;
        this.settings = settings;
        this.answers = new AnswerStore(settings.maxAnswerBytes());
    }

    /**
     * Updates what the voter knows about epochs. Must be called at each change of the view; the methods that vote call
     * it too. A host that learns of a newer epoch after its lease expired may have missed epochs in between, so its
     * records count as complete only from the time at which the newer epoch is settled.
     *
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     */
    public void observe(EpochView view, long nowMillis) {
        HostEpoch epoch = view.current().epoch();
        if (!epoch.equals(knownEpoch)) {
            boolean heldLease = knownEpoch != null && view.adoptedAtMillis() < knownLeaseDeadlineMillis;
            awaitsSettledEpoch |= !heldLease;
            knownEpoch = epoch;
            knownLeaseDeadlineMillis = view.leaseDeadlineMillis();
        }
        knownLeaseDeadlineMillis = Math.max(knownLeaseDeadlineMillis, view.leaseDeadlineMillis());
        if (awaitsSettledEpoch && view.isSettled(nowMillis)) {
            recordsSinceMillis = Math.max(recordsSinceMillis, view.settledAtMillis());
            awaitsSettledEpoch = false;
        }
        sweep(nowMillis);
    }

    /**
     * Votes on a claim.
     *
     * @param request the claim
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the vote
     */
    public ClaimReply onRequest(ClaimRequest request, EpochView view, long nowMillis) {
        observe(view, nowMillis);
        List<EpochVoters> votersByEpoch = EpochVoters.requiredFor(request.key(), view, settings, nowMillis);
        ClaimVote vote = findRefusal(request.epoch(), request.keyIssuedAtMillis(), votersByEpoch, view, nowMillis);
        VoterEntry entry = findEntry(request.key(), nowMillis);
        if (vote == null) {
            vote = voteOn(request, entry, nowMillis);
            entry = findEntry(request.key(), nowMillis);
        }
        Optional<AttemptId> holder = entry == null ? Optional.empty() : entry.holder();
        return new ClaimReply(
                request.key(),
                request.attempt(),
                request.epoch(),
                vote,
                holder,
                vote == ClaimVote.BARRED ? entry.barrierMillis() : 0,
                incarnation,
                view.current().epoch(),
                votersByEpoch.subList(1, votersByEpoch.size()),
                holder.flatMap(answers::get));
    }

    private ClaimVote voteOn(ClaimRequest request, VoterEntry entry, long nowMillis) {
        long skew = settings.clockSkewMillis();
        long arrivedAt = request.arrivedAtMillis();
        if (nowMillis > arrivedAt + settings.dispatchMillis() + skew || arrivedAt > nowMillis + skew) {
            return ClaimVote.LATE;
        }
        if (entry == null) {
            entry = newEntry(request.key());
            if (entry == null) {
                return ClaimVote.FULL;
            }
        }
        if (entry.isAborted(request.attempt())) {
            return ClaimVote.ABORTED;
        }
        if (entry.holder().isPresent()) {
            return entry.isHeldBy(request.attempt()) ? ClaimVote.GRANTED : ClaimVote.HELD;
        }
        if (arrivedAt <= entry.barrierMillis()) {
            return ClaimVote.BARRED;
        }
        entry.grant(request.attempt(), nowMillis + settings.recordLifetimeMillis());
        return ClaimVote.GRANTED;
    }

    /**
     * Releases a key, and records the barrier if the abort has one.
     *
     * @param abort the abort
     * @param view what the host knows about epochs
     * @param nowMillis the current time
     * @return the reply; empty if the abort only releases the key
     */
    public Optional<ClaimAbortReply> onAbort(ClaimAbort abort, EpochView view, long nowMillis) {
        observe(view, nowMillis);
        VoterEntry entry = findEntry(abort.key(), nowMillis);
        if (entry == null) {
            entry = newEntry(abort.key());
        }
        if (entry != null) {
            // A delayed claim of the attempt may arrive until then; later ones are refused because of the dispatch
            // deadline.
            long expiresAt = nowMillis + settings.dispatchMillis() + 2 * settings.clockSkewMillis();
            entry.abort(abort.attempt(), expiresAt);
        }
        if (abort.barrierMillis() == ClaimAbort.RELEASE_ONLY) {
            return Optional.empty();
        }
        List<EpochVoters> votersByEpoch = EpochVoters.requiredFor(abort.key(), view, settings, nowMillis);
        ClaimVote vote = findRefusal(abort.epoch(), abort.keyIssuedAtMillis(), votersByEpoch, view, nowMillis);
        if (vote == null) {
            vote = entry == null ? ClaimVote.FULL : confirm(abort, entry, nowMillis);
        }
        Optional<ClaimOutcome> outcome =
                entry == null ? Optional.empty() : entry.holder().flatMap(answers::get);
        return Optional.of(new ClaimAbortReply(
                abort.key(),
                abort.attempt(),
                abort.epoch(),
                abort.barrierMillis(),
                vote,
                view.current().epoch(),
                votersByEpoch.subList(1, votersByEpoch.size()),
                outcome));
    }

    private ClaimVote confirm(ClaimAbort abort, VoterEntry entry, long nowMillis) {
        if (entry.holder().isPresent()) {
            return ClaimVote.HELD;
        }
        // A coordinator whose clock is far ahead must not block the key for long.
        if (abort.barrierMillis() > nowMillis + settings.confirmMillis() + 2 * settings.clockSkewMillis()) {
            return ClaimVote.LATE;
        }
        long barrierExpiresAt = abort.barrierMillis() + settings.dispatchMillis() + settings.clockSkewMillis();
        entry.raiseBarrier(abort.barrierMillis(), barrierExpiresAt);
        return ClaimVote.CONFIRMED;
    }

    /**
     * Stores the outcome of an attempt. A voter that does not know the attempt, for example after a restart, records it
     * as the holder, because a request with an outcome has been dispatched.
     *
     * @param outcome the outcome
     * @param nowMillis the current time
     */
    public void onOutcome(ClaimOutcome outcome, long nowMillis) {
        VoterEntry entry = findEntry(outcome.key(), nowMillis);
        if (entry == null) {
            entry = newEntry(outcome.key());
        }
        if (entry != null && entry.holder().isEmpty()) {
            entry.grant(outcome.attempt(), nowMillis + settings.recordLifetimeMillis());
        }
        if (entry != null && entry.isHeldBy(outcome.attempt())) {
            answers.put(outcome.attempt(), outcome);
        }
    }

    /**
     * Answers a query that is addressed to a voter.
     *
     * @param query the query
     * @param nowMillis the current time
     * @return the answer
     */
    public OutcomeReply onQuery(OutcomeQuery query, long nowMillis) {
        VoterEntry entry = findEntry(query.key(), nowMillis);
        if (entry == null) {
            return new OutcomeReply(query.key(), query.attempt(), false, AttemptState.NOT_KNOWN, Optional.empty());
        }
        Optional<ClaimOutcome> outcome = entry.holder().flatMap(answers::get);
        AttemptState state = AttemptState.NOT_KNOWN;
        if (entry.isHeldBy(query.attempt())) {
            state = outcome.isPresent() ? AttemptState.ENDED : AttemptState.CLAIMING;
        } else if (entry.isAborted(query.attempt())) {
            state = AttemptState.ABORTED;
        }
        return new OutcomeReply(query.key(), query.attempt(), false, state, outcome);
    }

    /**
     * Returns the number of recorded keys.
     *
     * @return at most {@link ClaimSettings#maxEntries}
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns the total size of the kept answers.
     *
     * @return bytes, at most {@link ClaimSettings#maxAnswerBytes}
     */
    public long answerBytes() {
        return answers.bytes();
    }

    private ClaimVote findRefusal(
            HostEpoch requestEpoch, long issuedAt, List<EpochVoters> votersByEpoch, EpochView view, long nowMillis) {
        if (view.current().epoch().isNewerThan(requestEpoch)) {
            return ClaimVote.OLD_EPOCH;
        }
        if (requestEpoch.isNewerThan(view.current().epoch())) {
            return ClaimVote.NOT_YET;
        }
        if (!view.holdsLease(nowMillis)) {
            return ClaimVote.NO_LEASE;
        }
        boolean votesInCurrentEpoch = votersByEpoch.get(0).voters().contains(self);
        boolean votesInEarlierEpoch =
                votersByEpoch.stream().skip(1).anyMatch(e -> e.voters().contains(self));
        if (!votesInCurrentEpoch && !votesInEarlierEpoch) {
            return ClaimVote.NOT_VOTER;
        }
        if (awaitsSettledEpoch || !votesInEarlierEpoch && !view.isSettled(nowMillis)) {
            return ClaimVote.NOT_YET;
        }
        if (issuedAt != IssueTimes.UNKNOWN && issuedAt + settings.retentionMillis() <= nowMillis) {
            return ClaimVote.EXPIRED;
        }
        return checkRecords(issuedAt, nowMillis);
    }

    /**
     * Abstains if an earlier process or duty of this host may have voted on the key. No voter grants a key earlier than
     * {@code issueLeadMillis} before its time of issue. A key issued at least that long after the records of this voter
     * begin was therefore not voted on before, whatever the clocks of other hosts and callers show.
     */
    private ClaimVote checkRecords(long issuedAt, long nowMillis) {
        if (issuedAt == IssueTimes.UNKNOWN) {
            return nowMillis >= recordsSinceMillis + settings.recordLifetimeMillis() ? null : ClaimVote.ABSTAINED;
        }
        if (issuedAt > nowMillis + settings.issueLeadMillis()) {
            return ClaimVote.NOT_YET;
        }
        boolean issuedAfterStart = issuedAt - settings.issueLeadMillis() >= recordsSinceMillis;
        boolean recordsComplete = nowMillis >= recordsSinceMillis + settings.recordLifetimeMillis();
        return issuedAfterStart || recordsComplete ? null : ClaimVote.ABSTAINED;
    }

    private VoterEntry newEntry(ClaimKey key) {
        int workspaceEntries = entriesByWorkspace.getOrDefault(key.workspace(), 0);
        if (entries.size() >= settings.maxEntries() || workspaceEntries >= settings.maxEntriesOfWorkspace()) {
            return null;
        }
        VoterEntry entry = new VoterEntry();
        entries.put(key, entry);
        entriesByWorkspace.put(key.workspace(), workspaceEntries + 1);
        return entry;
    }

    private VoterEntry findEntry(ClaimKey key, long nowMillis) {
        VoterEntry entry = entries.get(key);
        if (entry != null) {
            entry.expire(nowMillis).ifPresent(answers::remove);
        }
        return entry;
    }

    private void sweep(long nowMillis) {
        if (nowMillis < nextSweepAtMillis) {
            return;
        }
        nextSweepAtMillis = nowMillis + SWEEP_MILLIS;
        Iterator<Map.Entry<ClaimKey, VoterEntry>> iterator = entries.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ClaimKey, VoterEntry> next = iterator.next();
            next.getValue().expire(nowMillis).ifPresent(answers::remove);
            if (next.getValue().isEmpty()) {
                entriesByWorkspace.computeIfPresent(
                        next.getKey().workspace(), (workspace, count) -> count == 1 ? null : count - 1);
                iterator.remove();
            }
        }
    }
}
