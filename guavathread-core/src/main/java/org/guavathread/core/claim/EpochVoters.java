package org.guavathread.core.claim;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;

/**
 * The voters of one key in one host epoch.
 *
 * @param epoch the epoch
 * @param voters the voters, best rank first
 */
public record EpochVoters(HostEpoch epoch, List<HostId> voters) {

    /** Copies the voters. */
    public EpochVoters {
        voters = List.copyOf(voters);
    }

    /**
     * Returns how many of the voters must agree.
     *
     * @return the smallest number that is more than half
     */
    public int majority() {
        return EpochMembers.majorityOf(voters.size());
    }

    /**
     * Lists the voters of a key in every epoch whose majority is required at the given time.
     *
     * @param key the key
     * @param view what the host knows about epochs
     * @param settings the times of claims
     * @param nowMillis the current time
     * @return the current epoch first, then the earlier ones whose claims are still kept, newest first
     */
    public static List<EpochVoters> requiredFor(ClaimKey key, EpochView view, ClaimSettings settings, long nowMillis) {
        List<EpochVoters> votersByEpoch = new ArrayList<>();
        votersByEpoch.add(of(key, view.current(), settings));
        for (EpochView.Superseded earlier : view.earlier()) {
            long settledAt = earlier.successorSettledAtMillis();
            if (settledAt == EpochView.NOT_SETTLED || nowMillis < settledAt + settings.recordLifetimeMillis()) {
                votersByEpoch.add(of(key, earlier.members(), settings));
            }
        }
        return votersByEpoch;
    }

    private static EpochVoters of(ClaimKey key, EpochMembers members, ClaimSettings settings) {
        return new EpochVoters(members.epoch(), members.owners(key.ownerKey(), settings.voterCount()));
    }
}
