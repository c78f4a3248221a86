/** Placement of language requests on engines: the queue and ledger of a cell, the choice of a cell, prefix matches. */
package org.guavathread.core.placement;
