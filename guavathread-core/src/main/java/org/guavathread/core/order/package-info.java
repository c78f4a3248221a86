/** Orders to engines: which host may give them, which order is due, and the numbers that fence off earlier issuers. */
package org.guavathread.core.order;
