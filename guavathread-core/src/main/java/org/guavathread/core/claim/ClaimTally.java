package org.guavathread.core.claim;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;

/** Counts the votes of one round among the voters of every epoch whose majority is required. */
final class ClaimTally {

    private final Map<HostEpoch, EpochVoters> groups = new LinkedHashMap<>();
    private final Map<HostId, ClaimVote> votes = new HashMap<>();
    private final Map<HostId, AttemptId> holders = new HashMap<>();

    ClaimTally(List<EpochVoters> votersByEpoch) {
        addGroups(votersByEpoch);
    }

    final void addGroups(List<EpochVoters> votersByEpoch) {
        votersByEpoch.forEach(group -> groups.putIfAbsent(group.epoch(), group));
    }

    /** Records a vote. A vote in favour is never replaced, because the voter has recorded it and refuses other attempts. */
    void record(HostId voter, ClaimVote vote, Optional<AttemptId> holder) {
        ClaimVote known = votes.get(voter);
        if (known == ClaimVote.GRANTED || known == ClaimVote.CONFIRMED) {
            return;
        }
        votes.put(voter, vote);
        holders.remove(voter);
        holder.ifPresent(h -> holders.put(voter, h));
    }

    List<EpochVoters> groups() {
        return List.copyOf(groups.values());
    }

    Set<HostId> voters() {
        Set<HostId> voters = new LinkedHashSet<>();
        groups.values().forEach(group -> voters.addAll(group.voters()));
        return voters;
    }

    /** Lists the voters that have not replied, or whose vote may change. */
    List<HostId> unresolvedVoters() {
        return voters().stream()
                .filter(v -> votes.get(v) == null || votes.get(v).mayChange() || votes.get(v) == ClaimVote.HELD)
                .toList();
    }

    boolean has(ClaimVote vote) {
        return votes.containsValue(vote);
    }

    /** Tells whether every epoch has a majority for a vote. */
    boolean hasMajority(ClaimVote vote) {
        return groups.values().stream().allMatch(g -> count(g, v -> votes.get(v) == vote) >= g.majority());
    }

    /** Tells whether some epoch cannot reach a majority for a vote, even if all changeable votes turn into it. */
    boolean cannotReachMajority(ClaimVote wanted, Predicate<ClaimVote> mayChange) {
        return groups.values().stream()
                .anyMatch(g -> count(g, v -> votes.get(v) == wanted || mayChange.test(votes.get(v))) < g.majority());
    }

    /** Returns the attempt that holds the key at a majority of the voters of some epoch. */
    Optional<AttemptId> majorityHolder() {
        return holders.values().stream()
                .distinct()
                .filter(h ->
                        groups.values().stream().anyMatch(g -> count(g, v -> h.equals(holders.get(v))) >= g.majority()))
                .findFirst();
    }

    /** Tells whether the given voters include a majority of every epoch. */
    boolean isMajorityOfEveryEpoch(Collection<HostId> hosts) {
        return groups.values().stream().allMatch(g -> count(g, hosts::contains) >= g.majority());
    }

    private static long count(EpochVoters group, Predicate<HostId> predicate) {
        return group.voters().stream().filter(predicate).count();
    }
}
