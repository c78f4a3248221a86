/**
 * Orders to engines: which host may issue them, which order is due, and the fencing numbers that exclude earlier
 * issuers.
 */
package org.guavathread.core.order;
