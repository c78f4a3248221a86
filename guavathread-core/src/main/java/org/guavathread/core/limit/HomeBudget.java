package org.guavathread.core.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.membership.EpochView;

/**
 * The share of one workspace at one home host: a token bucket that starts empty. A grant can be returned as long as its
 * tokens could not have overflowed the bucket: the level plus what all grants can still restore never exceeds the
 * capacity. Grants that are not returned therefore stay within the bucket's rate and capacity, as if the returned ones
 * had never been made.
 */
final class HomeBudget {

    /** Bounds the memory that a workspace with very many small grants takes. */
    private static final int MAX_RETURNABLE_GRANTS = 10_000;

    private LimitTerms terms;
    private int share;
    private int targetShare;
    private boolean growthBlocked;
    private long levelUnits;
    private long restorableUnits;
    private long refilledToMillis;
    private final Map<Long, Long> restorableByGrant = new LinkedHashMap<>();

    HomeBudget(LimitTerms terms, long nowMillis) {
        this.terms = terms;
        this.refilledToMillis = nowMillis;
    }

    /**
     * Applies a newer sheet. The share shrinks at once and grows only in {@link #refill}.
     *
     * @param newTerms rate and burst of the newer sheet
     * @param newTarget the share that the newer sheet gives
     * @param keepShare whether the present share may be carried over
     * @param blockGrowth whether growth must wait for a later epoch
     * @param creditUntilMillis up to when the old share refills; later time is lost
     * @param nowMillis the current time
     */
    void apply(
            LimitTerms newTerms,
            int newTarget,
            boolean keepShare,
            boolean blockGrowth,
            long creditUntilMillis,
            long nowMillis) {
        refillTo(creditUntilMillis);
        refilledToMillis = Math.max(refilledToMillis, nowMillis);
        terms = newTerms;
        targetShare = newTarget;
        growthBlocked = blockGrowth;
        share = keepShare ? Math.min(share, newTarget) : 0;
        levelUnits = Math.min(levelUnits, terms.capacityUnits(share));
        shrinkRestorable();
    }

    /**
     * Refills up to now. The caller has checked that the host holds the lease, which shows that no newer epoch was
     * settled before now.
     */
    void refill(EpochView view, long nowMillis) {
        if (share < targetShare && !growthBlocked && view.isSettled(nowMillis)) {
            refillTo(view.settledAtMillis());
            share = targetShare;
            refilledToMillis = Math.max(refilledToMillis, view.settledAtMillis());
        }
        refillTo(nowMillis);
    }

    private void refillTo(long untilMillis) {
        if (untilMillis <= refilledToMillis) {
            return;
        }
        levelUnits += terms.refillUnits(share, untilMillis - refilledToMillis);
        levelUnits = Math.min(levelUnits, terms.capacityUnits(share));
        refilledToMillis = untilMillis;
        shrinkRestorable();
    }

    /** Takes what the bucket would have overflowed from the oldest grants. */
    private void shrinkRestorable() {
        long excess = levelUnits + restorableUnits - terms.capacityUnits(share);
        Iterator<Map.Entry<Long, Long>> oldestFirst =
                restorableByGrant.entrySet().iterator();
        while (excess > 0 && oldestFirst.hasNext()) {
            Map.Entry<Long, Long> grant = oldestFirst.next();
            long lost = Math.min(excess, grant.getValue());
            excess -= lost;
            restorableUnits -= lost;
            if (lost == grant.getValue()) {
                oldestFirst.remove();
            } else {
                grant.setValue(grant.getValue() - lost);
            }
        }
    }

    long take(long tokens, long grantNumber) {
        long granted = Math.max(0, Math.min(tokens, levelTokens()));
        if (granted == 0) {
            return 0;
        }
        levelUnits -= granted * LimitTerms.UNITS_PER_TOKEN;
        restorableByGrant.put(grantNumber, granted * LimitTerms.UNITS_PER_TOKEN);
        restorableUnits += granted * LimitTerms.UNITS_PER_TOKEN;
        if (restorableByGrant.size() > MAX_RETURNABLE_GRANTS) {
            Iterator<Long> oldestFirst = restorableByGrant.values().iterator();
            restorableUnits -= oldestFirst.next();
            oldestFirst.remove();
        }
        return granted;
    }

    void giveBack(long grantNumber, long tokens) {
        Long restorable = restorableByGrant.remove(grantNumber);
        if (restorable == null) {
            return;
        }
        restorableUnits -= restorable;
        long wanted = tokens <= 0 ? 0 : Math.min(tokens, restorable / LimitTerms.UNITS_PER_TOKEN + 1);
        levelUnits += Math.min(restorable, wanted * LimitTerms.UNITS_PER_TOKEN);
    }

    long levelTokens() {
        return levelUnits / LimitTerms.UNITS_PER_TOKEN;
    }

    boolean isGrowthBlocked() {
        return growthBlocked;
    }

    LimitTerms terms() {
        return terms;
    }
}
