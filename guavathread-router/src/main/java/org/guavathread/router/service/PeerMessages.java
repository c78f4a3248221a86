package org.guavathread.router.service;

import org.guavathread.core.claim.ClaimAbort;
import org.guavathread.core.claim.ClaimAbortReply;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.ClaimReply;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.OutcomeQuery;
import org.guavathread.core.claim.OutcomeReply;
import org.guavathread.core.config.SheetChunk;
import org.guavathread.core.config.SheetOffer;
import org.guavathread.core.config.SheetRequest;
import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.BudgetReturn;
import org.guavathread.core.limit.BudgetTake;
import org.guavathread.core.membership.Heartbeat;
import org.guavathread.core.membership.HeartbeatAck;
import org.guavathread.core.membership.Hello;
import org.guavathread.core.membership.WitnessPing;
import org.guavathread.core.membership.WitnessReply;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceReply;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.retry.CrashNotice;
import org.guavathread.wire.MessageRegistry;

/** Assigns a number to each type of message between hosts. */
public final class PeerMessages {

    private PeerMessages() {}

    /**
     * Builds the registry.
     *
     * @return a registry with all types
     */
    public static MessageRegistry registry() {
        return new MessageRegistry()
                .register(1, Hello.class)
                .register(2, Heartbeat.class)
                .register(3, HeartbeatAck.class)
                .register(4, WitnessPing.class)
                .register(5, WitnessReply.class)
                .register(10, SheetOffer.class)
                .register(11, SheetRequest.class)
                .register(12, SheetChunk.class)
                .register(20, ClaimRequest.class)
                .register(21, ClaimReply.class)
                .register(22, ClaimAbort.class)
                .register(23, ClaimAbortReply.class)
                .register(24, ClaimOutcome.class)
                .register(25, OutcomeQuery.class)
                .register(26, OutcomeReply.class)
                .register(30, BudgetTake.class)
                .register(31, BudgetGrant.class)
                .register(32, BudgetReturn.class)
                .register(40, PlaceRequest.class)
                .register(41, PlaceReply.class)
                .register(42, PlaceRelease.class)
                .register(43, PlaceRenew.class)
                .register(44, PlacePrefillDone.class)
                .register(50, CrashNotice.class);
    }
}
