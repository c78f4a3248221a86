/** Structured logs and the audit trail. */
package org.guavathread.router.log;
