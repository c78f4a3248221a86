package org.guavathread.core.placement;

import org.guavathread.core.id.BackendServerId;

/**
 * The engines assigned to a request and its reservation of decode memory.
 *
 * @param prefill the prefill engine
 * @param decode the decode engine, where the host must reserve before it starts the prefill
 * @param pieces reserved pieces of decode memory
 * @param reservationDeadlineMillis when the reservation ends unless it is renewed
 */
public record Grant(BackendServerId prefill, BackendServerId decode, int pieces, long reservationDeadlineMillis) {}
