package org.guavathread.core.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.guavathread.core.membership.EpochView;

/**
 * One home host's share of the budget of a workspace: a token bucket that starts empty. A return restores only tokens
 * that could not have overflowed the bucket meanwhile: the level plus all restorable tokens never exceeds the
 * capacity. The tokens that are not returned therefore stay within the rate and capacity of the bucket, as if the
 * returned ones had never been granted.
 */
final class HomeBudget {

    /** Limits the memory used for a workspace with many small grants. */
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
     * @param newTarget the share in the newer sheet
     * @param keepShare whether the current share may be kept
     * @param blockGrowth whether the share may grow only in a later epoch
     * @param refillUntilMillis the time until which the old share refills; there is no refill for the time after it
     * @param nowMillis the current time
     */
    void apply(
            LimitTerms newTerms,
            int newTarget,
            boolean keepShare,
            boolean blockGrowth,
            long refillUntilMillis,
            long nowMillis) {
        refillTo(refillUntilMillis);
        refilledToMillis = Math.max(refilledToMillis, nowMillis);
        terms = newTerms;
        targetShare = newTarget;
        growthBlocked = blockGrowth;
        share = keepShare ? Math.min(share, newTarget) : 0;
        levelUnits = Math.min(levelUnits, terms.capacityUnits(share));
        shrinkRestorable();
    }

    /**
     * Refills up to now. The caller must have checked that the host holds the lease, which guarantees that no newer
     * epoch was settled before now.
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

    /** Reduces the restorable tokens of the oldest grants by what would have overflowed the bucket. */
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
